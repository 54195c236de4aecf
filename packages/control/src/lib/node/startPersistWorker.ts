import { Effect, Queue } from 'effect'
import type { Scope } from 'effect'
import type { ControlError } from '../errors/ControlError'
import type { VoterStore } from '../store/VoterStore'
import type { PersistBatch } from '../voter/ControlAction'
import { ControlEventKind } from '../voter/ControlEvent'
import type { ControlEvent } from '../voter/ControlEvent'

/** Writes batches to the voter's files in order, and reports when each is synced or has failed. */
export interface PersistWorker {
  readonly persist: (batch: PersistBatch) => void
}

/** Starts the fiber that writes the files. It stops when the scope is closed. @internal */
export function startPersistWorker(
  store: VoterStore,
  tell: (event: ControlEvent) => void,
): Effect.Effect<PersistWorker, never, Scope.Scope> {
  return Effect.gen(function* () {
    const batches = yield* Queue.unbounded<PersistBatch>()
    const writeNextBatch = Effect.gen(function* () {
      const batch = yield* Queue.take(batches)
      const { id } = batch
      const failed = (err: ControlError): ControlEvent => {
        return { kind: ControlEventKind.PersistFailed, id, reason: err.detail }
      }
      const event = yield* Effect.match(store.persist(batch), {
        onSuccess: (): ControlEvent => ({ kind: ControlEventKind.Persisted, id }),
        onFailure: failed,
      })
      yield* Effect.sync(() => {
        tell(event)
      })
    })
    yield* Effect.forkScoped(Effect.forever(writeNextBatch))
    return {
      persist: (batch) => {
        Queue.offerUnsafe(batches, batch)
      },
    }
  })
}
