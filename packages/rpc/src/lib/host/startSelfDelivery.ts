import type { Envelope } from '@cherryhitch/protocol'
import { startMailbox } from '@cherryhitch/runtime'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { deliverEnvelope } from './deliverEnvelope'
import type { DeliveryOptions } from './deliverEnvelope'

/** Queues an envelope for the instance itself; returns false if the queue is full. */
export type SelfDelivery = (envelope: Envelope) => boolean

/** @internal */
export interface SelfDeliveryOptions extends DeliveryOptions {
  readonly instance: string
  readonly boot: number
  readonly maxQueuedEnvelopes: number
}

/**
 * Starts the delivery of messages from an instance to itself. They skip the network but are queued,
 * so that `send` returns before the handler runs, as for any other peer.
 *
 * @internal
 */
export function startSelfDelivery(
  options: SelfDeliveryOptions,
): Effect.Effect<SelfDelivery, never, Scope.Scope> {
  const { instance, boot, counters, handlers, maxQueuedEnvelopes } = options
  const handleBatch = (envelopes: readonly Envelope[]): void => {
    for (const envelope of envelopes) deliverEnvelope(options, instance, boot, envelope)
  }
  const onDefect = (defect: unknown): void => {
    handlers.log(`self-delivery stopped after an unexpected error: ${String(defect)}`)
  }
  return Effect.map(startMailbox({ handleBatch, onDefect }), (mailbox) => (envelope) => {
    if (mailbox.backlog() >= maxQueuedEnvelopes) {
      counters.dropped += 1
      return false
    }
    mailbox.tell(envelope)
    return true
  })
}
