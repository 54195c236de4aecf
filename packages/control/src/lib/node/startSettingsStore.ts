import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { SettingsStateSchema } from '@cherryhitch/protocol'
import type { SettingsState } from '@cherryhitch/protocol'
import { DurableFile, packNewest, unpackNewest } from '@cherryhitch/storage'
import type { Disk, Migration, StorageError } from '@cherryhitch/storage'
import { Effect, Queue } from 'effect'
import type { Scope } from 'effect'
import { ControlError, ControlErrorKind } from '../errors/ControlError'

const FILE = 'control-settings'
const migrations: readonly Migration[] = []

/** @internal */
export interface SettingsStore {
  /** The newest settings that were in force here before the start; undefined on a new disk. */
  readonly settings: SettingsState | undefined
  readonly save: (settings: SettingsState) => void
}

/**
 * Starts the fiber that writes the newest settings of this instance to a file. After a restart the
 * log alone does not show which of its entries were committed, so without this file an instance
 * that restarts while it is partitioned would go back to the settings of its last snapshot.
 *
 * @param onStored - called once the settings are synced, and also if the write fails: an instance
 *   whose disk is broken still has to follow the others
 * @internal
 */
export function startSettingsStore(
  disk: Disk,
  onStored: (settings: SettingsState) => void,
  log: (line: string) => void,
): Effect.Effect<SettingsStore, ControlError, Scope.Scope> {
  return Effect.gen(function* () {
    const file = new DurableFile(disk, FILE)
    const settings = yield* Effect.mapError(readSettings(file), asControlError)
    const pending = yield* Queue.unbounded<SettingsState>()
    const writeNewest = Effect.gen(function* () {
      // Only the newest is written: it supersedes the ones queued before it.
      const next = (yield* Queue.takeAll(pending)).at(-1)
      if (next === undefined) return
      yield* Effect.match(file.write(encode(next)), {
        onSuccess: () => {
          onStored(next)
        },
        onFailure: (err) => {
          log(`version ${next.version} takes effect but could not be stored: ${err.message}`)
          onStored(next)
        },
      })
    })
    yield* Effect.forkScoped(Effect.forever(writeNewest))
    return {
      settings,
      save: (next) => {
        Queue.offerUnsafe(pending, next)
      },
    }
  })
}

function readSettings(file: DurableFile): Effect.Effect<SettingsState | undefined, StorageError> {
  return Effect.gen(function* () {
    const bytes = yield* file.read()
    if (bytes === undefined) return undefined
    const content = unpackNewest(bytes, migrations, FILE)
    if (content.err) return yield* content.val
    return fromBinary(SettingsStateSchema, content.val)
  })
}

function encode(settings: SettingsState): Uint8Array {
  return packNewest(toBinary(SettingsStateSchema, settings), migrations)
}

function asControlError(cause: StorageError): ControlError {
  return new ControlError({ kind: ControlErrorKind.Storage, detail: cause.message, cause })
}
