import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { SettingsStateSchema } from '@cherryhitch/protocol'
import type { SettingsState } from '@cherryhitch/protocol'
import { DurableFile, packNewest, unpackNewest } from '@cherryhitch/storage'
import type { Disk, Migration, StorageError } from '@cherryhitch/storage'
import { Effect, Queue, Schedule } from 'effect'
import type { Scope } from 'effect'
import { ControlError, ControlErrorKind } from '../errors/ControlError'

const FILE = 'control-settings'
const migrations: readonly Migration[] = []
/** Time between two attempts to read or write the file on a disk that fails. */
const RETRY_INTERVAL_MS = 500

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
 * While the disk fails, reading and writing are attempted again until they succeed.
 *
 * @param onStored - called once the settings are synced or read, and also if their write fails: an
 *   instance whose disk is broken still has to follow the others
 * @internal
 */
export function startSettingsStore(
  disk: Disk,
  onStored: (settings: SettingsState) => void,
  log: (line: string) => void,
): Effect.Effect<SettingsStore, ControlError, Scope.Scope> {
  return Effect.gen(function* () {
    const file = new SettingsFile(disk, onStored, log)
    const settings = yield* Effect.mapError(file.readAtStart(), asControlError)
    const changes = yield* Queue.unbounded<undefined>()
    const storeNewest = Effect.andThen(
      Queue.takeAll(changes),
      Effect.retry(file.storeNewest(), Schedule.spaced(RETRY_INTERVAL_MS)),
    )
    yield* Effect.forkScoped(Effect.forever(storeNewest))
    if (!file.isRead) Queue.offerUnsafe(changes, undefined)
    return {
      settings,
      save: (next) => {
        file.setNewest(next)
        Queue.offerUnsafe(changes, undefined)
      },
    }
  })
}

/** The file of the newest settings, on a disk that may fail for some time. */
class SettingsFile {
  #newest: SettingsState | undefined
  #isRead = false
  #hasFailed = false

  constructor(
    private readonly disk: Disk,
    private readonly onStored: (settings: SettingsState) => void,
    private readonly log: (line: string) => void,
  ) {}

  /** False until the settings of the previous process were read: nothing may replace them before. */
  get isRead(): boolean {
    return this.#isRead
  }

  /** Fails unless the failure may pass; undefined if there are none, or if they cannot be read yet. */
  readAtStart(): Effect.Effect<SettingsState | undefined, StorageError> {
    return Effect.matchEffect(this.#read(), {
      onSuccess: (settings) => Effect.succeed(settings),
      onFailure: (err) => {
        if (!err.isTransient) return Effect.fail(err)
        this.#onFailure(err)
        return Effect.succeed(undefined)
      },
    })
  }

  /** Sets what the next write stores. It takes effect without waiting for a disk that fails. */
  setNewest(settings: SettingsState): void {
    this.#newest = settings
    if (this.#hasFailed) this.onStored(settings)
  }

  /** Stores the newest settings at the time of the attempt: they supersede those set before. */
  storeNewest(): Effect.Effect<void, StorageError> {
    const stored = Effect.gen({ self: this }, function* () {
      const earlier = this.#isRead ? undefined : yield* this.#read()
      if (earlier !== undefined) this.onStored(earlier)
      const newest = this.#newest
      if (newest !== undefined && newest.version > (earlier?.version ?? 0)) {
        // A new object for each write, since a file rejects all writes after one that failed.
        yield* new DurableFile(this.disk, FILE).write(encode(newest))
        this.onStored(newest)
      }
      this.#onSuccess()
    })
    return Effect.tapError(stored, (err) =>
      Effect.sync(() => {
        this.#onFailure(err)
      }),
    )
  }

  #read(): Effect.Effect<SettingsState | undefined, StorageError> {
    return Effect.tap(readSettings(new DurableFile(this.disk, FILE)), () =>
      Effect.sync(() => {
        this.#isRead = true
      }),
    )
  }

  #onFailure(err: StorageError): void {
    if (this.#hasFailed) return
    this.#hasFailed = true
    this.log(`the stored settings cannot be accessed, which is tried again: ${err.message}`)
    if (this.#newest !== undefined) this.onStored(this.#newest)
  }

  #onSuccess(): void {
    if (!this.#hasFailed) return
    this.#hasFailed = false
    this.log(`settings are stored again, at version ${this.#newest?.version ?? 0}`)
  }
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
