import { Deferred, Effect } from 'effect'

/** A one-time signal that a part has finished its work in progress. @internal */
export interface DrainSignal {
  readonly set: () => void
  /** Completes when the signal is set. */
  readonly wait: Effect.Effect<boolean>
}

/** @internal */
export function makeDrainSignal(): DrainSignal {
  const deferred = Deferred.makeUnsafe<boolean>()
  return {
    set: () => {
      Deferred.doneUnsafe(deferred, Effect.succeed(true))
    },
    wait: Deferred.await(deferred),
  }
}
