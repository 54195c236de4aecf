import { Effect, Queue } from 'effect'
import type { Scope } from 'effect'
import type { ControlError } from '../errors/ControlError'
import type { VoterStore } from '../store/VoterStore'
import type { PersistBatch } from '../voter/ControlAction'
import { ControlEventKind } from '../voter/ControlEvent'
import type { ControlEvent } from '../voter/ControlEvent'

/** Owns the voter's files: writes one batch after the other and tells when each is synced. */
export interface PersistPart {
  readonly persist: (batch: PersistBatch) => void
}

/** Starts the fiber that owns the files. It ends with the scope. @internal */
export function startPersistPart(
  store: VoterStore,
  tell: (event: ControlEvent) => void,
): Effect.Effect<PersistPart, never, Scope.Scope> {
  return Effect.gen(function* () {
    const batches = yield* Queue.unbounded<PersistBatch>()
    const writeOne = Effect.gen(function* () {
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
    yield* Effect.forkScoped(Effect.forever(writeOne))
    return {
      persist: (batch) => {
        Queue.offerUnsafe(batches, batch)
      },
    }
  })
}
