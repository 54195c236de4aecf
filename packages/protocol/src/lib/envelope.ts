import { create } from '@bufbuild/protobuf'
import type { MessageInitShape } from '@bufbuild/protobuf'
import { EnvelopeSchema } from './gen/cherryhitch/v1/link_pb'
import type { Envelope } from './gen/cherryhitch/v1/link_pb'

/** The message inside an envelope: a union with `case` as its discriminant. @public */
export type EnvelopeBody = Exclude<Envelope['body'], { case: undefined }>

/** Name of a message between instances, as the discriminant of an envelope's body. @public */
export type EnvelopeCase = EnvelopeBody['case']

/** The message type of a case. @public */
export type EnvelopeValue<C extends EnvelopeCase> = Extract<EnvelopeBody, { case: C }>['value']

/** Creates an envelope from the fields of its message. @public */
export function envelope(
  body: NonNullable<MessageInitShape<typeof EnvelopeSchema>['body']>,
): Envelope {
  return create(EnvelopeSchema, { body })
}

/** Wraps a complete message in an envelope without copying it. @public */
export function wrapMessage(body: EnvelopeBody): Envelope {
  return { $typeName: 'cherryhitch.v1.Envelope', body }
}
