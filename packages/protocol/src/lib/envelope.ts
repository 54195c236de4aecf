import { create } from '@bufbuild/protobuf'
import type { MessageInitShape } from '@bufbuild/protobuf'
import { EnvelopeSchema } from './gen/cherryhitch/v1/link_pb'
import type { Envelope } from './gen/cherryhitch/v1/link_pb'

/** The message inside an envelope: a union with `case` as its discriminant. @public */
export type EnvelopeBody = Exclude<Envelope['body'], { case: undefined }>

/** Name of a message that instances send to one another. @public */
export type EnvelopeCase = EnvelopeBody['case']

/** The message type that belongs to a case. @public */
export type EnvelopeValue<C extends EnvelopeCase> = Extract<EnvelopeBody, { case: C }>['value']

/** Makes an envelope from the plain fields of its message. @public */
export function envelope(
  body: NonNullable<MessageInitShape<typeof EnvelopeSchema>['body']>,
): Envelope {
  return create(EnvelopeSchema, { body })
}

/** Puts a whole message into an envelope, as it is. @public */
export function wrapMessage(body: EnvelopeBody): Envelope {
  return { $typeName: 'cherryhitch.v1.Envelope', body }
}
