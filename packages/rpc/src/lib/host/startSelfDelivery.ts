import type { Envelope } from '@cherryhitch/protocol'
import { Effect, Queue } from 'effect'
import type { Scope } from 'effect'
import { deliverEnvelope } from './deliverEnvelope'
import type { DeliveryOptions } from './deliverEnvelope'

/** Queues an envelope for the sender itself; false when the queue is full. */
export type SelfDelivery = (envelope: Envelope) => boolean

/** @internal */
export interface SelfDeliveryOptions extends DeliveryOptions {
  readonly instance: string
  readonly boot: number
  readonly maxQueuedEnvelopes: number
}

/**
 * Messages of an instance to itself skip the network, but not the queue: the sender's call
 * returns before the handler runs, as with any other peer.
 *
 * @internal
 */
export function startSelfDelivery(
  options: SelfDeliveryOptions,
): Effect.Effect<SelfDelivery, never, Scope.Scope> {
  const { instance, boot, counters, maxQueuedEnvelopes } = options
  return Effect.gen(function* () {
    const queue = yield* Queue.unbounded<Envelope>()
    const loop = Effect.gen(function* () {
      const envelopes = yield* Queue.takeAll(queue)
      yield* Effect.sync(() => {
        for (const envelope of envelopes) deliverEnvelope(options, instance, boot, envelope)
      })
    })
    yield* Effect.forkScoped(Effect.forever(loop))
    return (envelope) => {
      if (Queue.sizeUnsafe(queue) >= maxQueuedEnvelopes) {
        counters.dropped += 1
        return false
      }
      Queue.offerUnsafe(queue, envelope)
      return true
    }
  })
}
