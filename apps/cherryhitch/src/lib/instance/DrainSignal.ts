import { Deferred, Effect } from 'effect'

/** Set once, when a part has finished its work in progress. @internal */
export interface DrainSignal {
  readonly set: () => void
  /** Ends when the signal is set. */
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
