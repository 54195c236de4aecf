import { decodeText, wrapMessage } from '@cherryhitch/protocol'
import type { Envelope } from '@cherryhitch/protocol'
import type { LinkCounters } from './LinkCounters'
import type { LinkHandlers } from './LinkHostOptions'

/** Options for the delivery of envelopes. */
export interface DeliveryOptions {
  readonly handlers: LinkHandlers
  readonly counters: LinkCounters
}

/** Passes one envelope to the instance's handler. An error of the handler is logged and counted. */
export function deliverEnvelope(
  { handlers, counters }: DeliveryOptions,
  from: string,
  boot: number,
  envelope: Envelope,
): void {
  counters.received += 1
  if (envelope.body.case === undefined) {
    // An instance of another version may send message types that this version doesn't know.
    counters.unknownMessages += 1
    return
  }
  try {
    handlers.onEnvelope(from, boot, decodeBody(envelope))
  } catch (err) {
    counters.handlerErrors += 1
    handlers.log(`message handler for ${envelope.body.case} failed: ${String(err)}`)
  }
}

function decodeBody(envelope: Envelope): Envelope {
  const { body } = envelope
  return body.case === 'text' ? wrapMessage(decodeText(body.value)) : envelope
}
