import { Cause, Effect, Queue } from 'effect'
import type { Scope } from 'effect'
import { ControlError } from '../errors/ControlError'
import type { OpenVoter } from '../store/initVoters'
import type { VoterStore } from '../store/VoterStore'
import type { PersistBatch } from '../voter/ControlAction'
import { ControlEventKind } from '../voter/ControlEvent'
import { DiskEventKind } from '../voter/RecoverableVoter'
import type { RecoverableVoterEvent } from '../voter/RecoverableVoter'

/** Writes batches to the voter's files, and opens these files again after a failure. @internal */
export interface DiskWorker {
  /** Reports when the batch is synced or has failed. */
  readonly persist: (batch: PersistBatch) => void
  /** Opens the files again, and reports what they hold or why they cannot be opened. */
  readonly open: () => void
}

/** @internal */
export interface DiskWorkerOptions {
  /** Undefined if the files could not be opened yet. */
  readonly store: VoterStore | undefined
  readonly openVoter: Effect.Effect<OpenVoter, ControlError>
  readonly tell: (event: RecoverableVoterEvent) => void
}

/**
 * Starts the fiber that accesses the files, so that operations never overlap. It stops when the
 * scope is closed.
 *
 * @internal
 */
export function startDiskWorker({
  store: firstStore,
  openVoter,
  tell,
}: DiskWorkerOptions): Effect.Effect<DiskWorker, never, Scope.Scope> {
  return Effect.gen(function* () {
    let store = firstStore
    const open = Effect.matchCause(openVoter, {
      onSuccess: (opened): RecoverableVoterEvent => {
        store = opened.store
        return { kind: DiskEventKind.Opened, stored: opened.stored }
      },
      onFailure: (cause): RecoverableVoterEvent => {
        return { kind: DiskEventKind.OpenFailed, reason: reasonOf(cause) }
      },
    })
    const jobs = yield* Queue.unbounded<Effect.Effect<RecoverableVoterEvent>>()
    const runNext = Effect.gen(function* () {
      const job = yield* Queue.take(jobs)
      tell(yield* job)
    })
    yield* Effect.forkScoped(Effect.forever(runNext))
    return {
      persist: (batch) => {
        Queue.offerUnsafe(
          jobs,
          Effect.suspend(() => persist(store, batch)),
        )
      },
      open: () => {
        Queue.offerUnsafe(jobs, open)
      },
    }
  })
}

function persist(
  store: VoterStore | undefined,
  batch: PersistBatch,
): Effect.Effect<RecoverableVoterEvent> {
  const { id } = batch
  const written =
    store?.persist(batch) ?? Effect.die(new Error('a batch came before the disk was opened'))
  return Effect.matchCause(written, {
    onSuccess: (): RecoverableVoterEvent => ({ kind: ControlEventKind.Persisted, id }),
    onFailure: (cause): RecoverableVoterEvent => {
      return { kind: ControlEventKind.PersistFailed, id, reason: reasonOf(cause) }
    },
  })
}

/** Unexpected errors are reported too: they would otherwise end the fiber, and the voter, silently. */
function reasonOf(cause: Cause.Cause<ControlError>): string {
  const err = Cause.squash(cause)
  return err instanceof ControlError ? err.detail : String(err)
}
