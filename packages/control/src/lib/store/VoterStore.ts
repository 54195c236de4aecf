import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { ControlSnapshotSchema, HardStateSchema, LogEntrySchema } from '@cherryhitch/protocol'
import type { ControlSnapshot, HardState, LogEntry } from '@cherryhitch/protocol'
import {
  DurableFile,
  packNewest,
  packVersioned,
  RecordLog,
  StorageError,
  StorageErrorKind,
  unpackNewest,
} from '@cherryhitch/storage'
import type { Disk, Migration } from '@cherryhitch/storage'
import { Effect } from 'effect'
import { ControlError, ControlErrorKind } from '../errors/ControlError'
import { versionOfCommand, versionOfSnapshot } from '../state/commandVersion'
import { encodeSnapshot } from './encodeSnapshot'
import type { PersistBatch } from '../voter/ControlAction'
import type { StoredVoter } from '../voter/VoterOptions'

const files = { hardState: 'control-vote', snapshot: 'control-snapshot', log: 'control-log' }

/** Version 2 has fields that version 1 lacks; nothing in a record of version 1 changes. */
const addsZoneDrains: Migration = {
  from: 1,
  description: 'drains of availability zones',
  migrate: (content) => content,
}

/** Migrations of each stored record, in order. */
const migrations: Record<keyof typeof files, readonly Migration[]> = {
  hardState: [],
  snapshot: [addsZoneDrains],
  log: [addsZoneDrains],
}

/**
 * Stores a voter's term and vote, its snapshot and its log on a disk.
 *
 * @internal
 */
export class VoterStore {
  readonly #hardState: DurableFile
  readonly #snapshot: DurableFile
  readonly #log: RecordLog
  /** Index of the first entry in the log file. */
  #firstIndex: number

  private constructor(
    hardState: DurableFile,
    snapshot: DurableFile,
    log: RecordLog,
    firstIndex: number,
  ) {
    this.#hardState = hardState
    this.#snapshot = snapshot
    this.#log = log
    this.#firstIndex = firstIndex
  }

  /** Reads the stored voter; `stored` is undefined if the disk holds none yet. */
  static open(disk: Disk): Effect.Effect<OpenedStore, ControlError> {
    return Effect.mapError(openStore(disk), asControlError)
  }

  /** @internal */
  static make(parts: StoreParts): VoterStore {
    return new VoterStore(parts.hardState, parts.snapshot, parts.log, parts.firstIndex)
  }

  /**
   * Writes and syncs a batch. The order keeps the disk consistent if a crash happens in between:
   * the vote is written first, and the snapshot before the entries that it covers are deleted.
   */
  persist(batch: PersistBatch): Effect.Effect<void, ControlError> {
    const { hardState, snapshot, truncateAfter, entries } = batch
    const steps = Effect.gen({ self: this }, function* () {
      if (hardState !== undefined) yield* this.writeHardState(hardState)
      if (snapshot !== undefined) yield* this.#writeSnapshot(snapshot)
      if (truncateAfter !== undefined) yield* this.#truncateAfter(truncateAfter)
      if (snapshot !== undefined) yield* this.#dropThrough(snapshot.lastIndex)
      if (entries.length > 0) yield* this.#append(entries)
    })
    return Effect.mapError(steps, asControlError)
  }

  /** Writes the first records of a voter: its state and its identity. @internal */
  initialize(hardState: HardState, snapshot?: ControlSnapshot): Effect.Effect<void, ControlError> {
    const steps = Effect.gen({ self: this }, function* () {
      if (snapshot !== undefined) yield* this.#writeSnapshot(snapshot)
      // The identity is written last, since a folder without an identity holds no voter.
      yield* this.writeHardState(hardState)
    })
    return Effect.mapError(steps, asControlError)
  }

  private writeHardState(hardState: HardState): Effect.Effect<void, StorageError> {
    const content = toBinary(HardStateSchema, hardState)
    return this.#hardState.write(packNewest(content, migrations.hardState))
  }

  #writeSnapshot(snapshot: ControlSnapshot): Effect.Effect<void, StorageError> {
    return Effect.flatMap(encodeSnapshot(snapshot), (bytes) =>
      this.#snapshot.write(packVersioned({ version: versionOfSnapshot(snapshot), content: bytes })),
    )
  }

  #truncateAfter(index: number): Effect.Effect<void, StorageError> {
    const kept = Math.max(0, index - this.#firstIndex + 1)
    return kept >= this.#log.length ? Effect.void : this.#log.truncateAfter(kept)
  }

  #dropThrough(index: number): Effect.Effect<void, StorageError> {
    const covered = Math.max(0, index - this.#firstIndex + 1)
    const dropped = Math.min(this.#log.length, covered)
    return Effect.tap(this.#log.dropFirst(dropped), () =>
      Effect.sync(() => {
        this.#firstIndex += dropped
      }),
    )
  }

  #append(entries: readonly LogEntry[]): Effect.Effect<void, StorageError> {
    const [first] = entries
    if (this.#log.length === 0 && first !== undefined) this.#firstIndex = first.index
    return this.#log.append(entries.map(packEntry))
  }
}

interface StoreParts {
  readonly hardState: DurableFile
  readonly snapshot: DurableFile
  readonly log: RecordLog
  readonly firstIndex: number
}

/** @internal */
export interface OpenedStore {
  readonly store: VoterStore
  /** Undefined if the disk holds no voter yet. */
  readonly stored: StoredVoter | undefined
}

function openStore(disk: Disk): Effect.Effect<OpenedStore, StorageError> {
  return Effect.gen(function* () {
    const hardState = new DurableFile(disk, files.hardState)
    const snapshot = new DurableFile(disk, files.snapshot)
    const voteBytes = yield* hardState.read()
    const snapshotBytes = yield* snapshot.read()
    const log = yield* RecordLog.open(disk, files.log)
    const vote = voteBytes && fromBinary(HardStateSchema, yield* unpack('hardState', voteBytes))
    const state =
      snapshotBytes && fromBinary(ControlSnapshotSchema, yield* unpack('snapshot', snapshotBytes))
    const all: LogEntry[] = []
    for (const bytes of log.records) {
      all.push(fromBinary(LogEntrySchema, yield* unpack('log', bytes)))
    }
    const firstIndex = all[0]?.index ?? (state?.lastIndex ?? -1) + 1
    const store = VoterStore.make({ hardState, snapshot, log, firstIndex })
    if (vote === undefined) return { store, stored: undefined }
    const gap = findGap(state, all)
    if (gap !== undefined) return yield* damagedLog(gap)
    const entries = entriesAfter(state, all)
    // Entries that a crash left behind after a newer snapshot are deleted, so that the file and
    // memory agree.
    if (entries.length === 0) yield* log.truncateAfter(0)
    const { diskId, term, votedFor } = vote
    return { store, stored: { diskId, term, votedFor, snapshot: state, entries } }
  })
}

/**
 * The entries that follow the snapshot. Entries that contradict the snapshot are leftovers of a
 * crash and are skipped.
 */
function entriesAfter(
  snapshot: ControlSnapshot | undefined,
  entries: readonly LogEntry[],
): readonly LogEntry[] {
  if (snapshot === undefined) return []
  const { lastIndex, lastTerm } = snapshot
  const covered = entries.find(({ index }) => index === lastIndex)
  if (covered !== undefined && covered.term !== lastTerm) return []
  return entries.filter(({ index }) => index > lastIndex)
}

/** Why the log does not continue from the snapshot; the voter must not start in that case. */
function findGap(
  snapshot: ControlSnapshot | undefined,
  entries: readonly LogEntry[],
): string | undefined {
  const [first] = entries
  if (first === undefined) return undefined
  if (snapshot === undefined) return `the log starts at entry ${first.index} and has no snapshot`
  if (first.index <= snapshot.lastIndex + 1) return undefined
  return `the log starts at entry ${first.index}, the snapshot ends at ${snapshot.lastIndex}`
}

function damagedLog(detail: string): StorageError {
  return new StorageError({ kind: StorageErrorKind.Damaged, file: files.log, detail })
}

function packEntry(entry: LogEntry): Uint8Array {
  const version = versionOfCommand(entry.command)
  return packVersioned({ version, content: toBinary(LogEntrySchema, entry) })
}

function unpack(
  kind: keyof typeof files,
  bytes: Uint8Array,
): Effect.Effect<Uint8Array, StorageError> {
  const content = unpackNewest(bytes, migrations[kind], files[kind])
  return content.ok ? Effect.succeed(content.val) : Effect.fail(content.val)
}

function asControlError(cause: StorageError): ControlError {
  return new ControlError({ kind: ControlErrorKind.Storage, detail: cause.message, cause })
}
