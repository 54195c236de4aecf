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
export interface SettingsKeeper {
  /** The newest settings that were ever in force here; undefined on a new disk. */
  readonly settings: SettingsState | undefined
  readonly keep: (settings: SettingsState) => void
}

/**
 * Starts the fiber that owns the file with the newest settings of this instance. The log alone
 * does not tell after a restart which of its entries were committed, so without this file an
 * instance that restarts while it is cut off would go back to its last snapshot.
 *
 * @param kept - called once the settings are synced, or can't be: an instance with a broken disk
 *   still has to follow the others
 * @internal
 */
export function startSettingsKeeper(
  disk: Disk,
  kept: (settings: SettingsState) => void,
  log: (line: string) => void,
): Effect.Effect<SettingsKeeper, ControlError, Scope.Scope> {
  return Effect.gen(function* () {
    const file = new DurableFile(disk, FILE)
    const settings = yield* Effect.mapError(readSettings(file), asControlError)
    const waiting = yield* Queue.unbounded<SettingsState>()
    const keepOne = Effect.gen(function* () {
      // Only the newest: it covers what came in before it.
      const next = (yield* Queue.takeAll(waiting)).at(-1)
      if (next === undefined) return
      yield* Effect.match(file.write(encode(next)), {
        onSuccess: () => {
          kept(next)
        },
        onFailure: (err) => {
          log(`version ${next.version} is in force but not stored: ${err.message}`)
          kept(next)
        },
      })
    })
    yield* Effect.forkScoped(Effect.forever(keepOne))
    return {
      settings,
      keep: (next) => {
        Queue.offerUnsafe(waiting, next)
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
