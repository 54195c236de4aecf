import { decodeText, wrapMessage } from '@cherryhitch/protocol'
import type { Envelope } from '@cherryhitch/protocol'
import type { LinkCounters } from './LinkCounters'
import type { LinkHandlers } from './LinkHostOptions'

/** What handing an envelope over needs. */
export interface DeliveryOptions {
  readonly handlers: LinkHandlers
  readonly counters: LinkCounters
}

/** Hands one envelope to the instance; a handler that throws harms only this one. */
export function deliverEnvelope(
  { handlers, counters }: DeliveryOptions,
  from: string,
  boot: number,
  envelope: Envelope,
): void {
  counters.received += 1
  if (envelope.body.case === undefined) {
    // An instance of another version sends messages that this one doesn't know.
    counters.unknownMessages += 1
    return
  }
  try {
    handlers.onEnvelope(from, boot, unpack(envelope))
  } catch (err) {
    counters.handlerErrors += 1
    handlers.log(`handler of ${envelope.body.case} failed: ${String(err)}`)
  }
}

function unpack(envelope: Envelope): Envelope {
  const { body } = envelope
  return body.case === 'text' ? wrapMessage(decodeText(body.value)) : envelope
}
