import { Effect } from 'effect'
import { StorageErrorKind, storageError } from '../errors/StorageError'
import type { StorageError } from '../errors/StorageError'
import { Disk, DiskOperation } from './Disk'
import { FaultPlan } from './FaultPlan'
import type { DiskFault } from './FaultPlan'
import { MemoryFile } from './MemoryFile'
import { seededRandom } from '@cherryhitch/model'

/** @public */
export interface MemoryDiskOptions {
  /** Seed for what a crash leaves of unsynced data, and for where failing writes stop. */
  readonly seed: number
  /** Duration of each sync in milliseconds. */
  readonly syncDelayMs: number
  /** Limit on the total size of all files; writes beyond it fail with `DiskFull`. */
  readonly capacityBytes: number
}

/** @public */
export const defaultMemoryDiskOptions: MemoryDiskOptions = {
  seed: 1,
  syncDelayMs: 0,
  capacityBytes: Infinity,
}

/** A change of file names that is not yet synced. */
interface NameChange {
  readonly removed: string
  readonly added?: { readonly name: string; readonly file: MemoryFile }
}

function applyTo(names: Map<string, MemoryFile>, { removed, added }: NameChange): void {
  names.delete(removed)
  if (added !== undefined) names.set(added.name, added.file)
}

/**
 * A simulated disk for tests and randomized runs. It tracks current and synced content separately:
 * {@link MemoryDisk.crash} keeps the synced part and a random part of the rest.
 *
 * @public
 */
export class MemoryDisk extends Disk {
  syncDelayMs: number
  capacityBytes: number
  private readonly random: () => number
  private readonly faults = new FaultPlan()
  private names = new Map<string, MemoryFile>()
  private syncedNames = new Map<string, MemoryFile>()
  private unsyncedChanges: NameChange[] = []
  private crashes = 0

  constructor(options: Partial<MemoryDiskOptions> = {}) {
    super()
    const merged = { ...defaultMemoryDiskOptions, ...options }
    this.syncDelayMs = merged.syncDelayMs
    this.capacityBytes = merged.capacityBytes
    this.random = seededRandom(merged.seed)
  }

  /** Mutating operations so far, with failed ones; tests sweep over them with {@link haltAfter}. */
  get changes(): number {
    return this.faults.changes
  }

  /** Makes one operation fail once. */
  fail(fault: DiskFault): void {
    this.faults.add(fault)
  }

  /** Lets this many mutating operations pass; then all operations fail until the next crash. */
  haltAfter(changes: number): void {
    this.faults.haltAfter(changes)
  }

  /** Removes all planned faults; the effects of past faults remain. */
  clearFaults(): void {
    this.faults.clear()
  }

  /** Inverts all bits of one byte of a file, synced or not. */
  flip(name: string, at: number): void {
    this.names.get(name)?.flip(at)
  }

  /** Loses a random part of the unsynced data and names, and clears planned faults. */
  crash(): void {
    this.crashes++
    this.faults.clear()
    for (const change of this.unsyncedChanges) {
      if (this.random() < 0.5) applyTo(this.syncedNames, change)
    }
    this.unsyncedChanges = []
    for (const file of new Set(this.syncedNames.values())) file.crash(this.random)
    this.names = new Map(this.syncedNames)
  }

  override read(name: string): Effect.Effect<Uint8Array | undefined, StorageError> {
    return this.attempt(DiskOperation.Read, name, () =>
      Effect.succeed(this.names.get(name)?.read()),
    )
  }

  override list(): Effect.Effect<readonly string[], StorageError> {
    return this.attempt(DiskOperation.List, '', () => Effect.succeed([...this.names.keys()].sort()))
  }

  override append(name: string, bytes: Uint8Array): Effect.Effect<void, StorageError> {
    return Effect.suspend(() => {
      const file = this.names.get(name)
      return this.write(DiskOperation.Append, name, file, bytes)
    })
  }

  override sync(name: string): Effect.Effect<void, StorageError> {
    return Effect.suspend(() => {
      const err = this.faults.check(DiskOperation.Sync, name)
      const file = this.names.get(name)
      if (err !== undefined) {
        file?.failSync()
        return Effect.fail(err)
      }
      if (file === undefined) return Effect.fail(fileNotFound(name))
      const size = file.size
      return this.afterDelay(name, () => {
        file.sync(size)
      })
    })
  }

  override rename(from: string, to: string): Effect.Effect<void, StorageError> {
    return this.attempt(DiskOperation.Rename, from, () => {
      const file = this.names.get(from)
      if (file === undefined) return Effect.fail(fileNotFound(from))
      this.changeNames({ removed: from, added: { name: to, file } })
      return Effect.void
    })
  }

  override remove(name: string): Effect.Effect<void, StorageError> {
    return this.attempt(DiskOperation.Remove, name, () => {
      this.changeNames({ removed: name })
      return Effect.void
    })
  }

  override syncFolder(): Effect.Effect<void, StorageError> {
    return this.attempt(DiskOperation.SyncFolder, '', () => {
      const snapshot = new Map(this.names)
      const count = this.unsyncedChanges.length
      return this.afterDelay('', () => {
        this.syncedNames = snapshot
        this.unsyncedChanges = this.unsyncedChanges.slice(count)
      })
    })
  }

  override writeNew(name: string, bytes: Uint8Array): Effect.Effect<void, StorageError> {
    return Effect.suspend(() => {
      const file = new MemoryFile()
      this.changeNames({ removed: name, added: { name, file } })
      return this.write(DiskOperation.WriteNew, name, file, bytes)
    })
  }

  private attempt<A>(
    operation: DiskOperation,
    name: string,
    run: () => Effect.Effect<A, StorageError>,
  ): Effect.Effect<A, StorageError> {
    return Effect.suspend(() => {
      const err = this.faults.check(operation, name)
      return err === undefined ? run() : Effect.fail(err)
    })
  }

  /** Writes bytes; a failing write stores a random prefix of them. */
  private write(
    operation: DiskOperation,
    name: string,
    file: MemoryFile | undefined,
    bytes: Uint8Array,
  ): Effect.Effect<void, StorageError> {
    const err = this.faults.check(operation, name) ?? this.checkRoom(name, bytes.length)
    if (file === undefined) return Effect.fail(fileNotFound(name))
    if (err === undefined) {
      file.append(bytes)
      return Effect.void
    }
    const room = Math.max(0, Math.min(bytes.length, this.capacityBytes - this.used()))
    file.append(bytes.subarray(0, Math.floor(this.random() * (room + 1))))
    return Effect.fail(err)
  }

  private checkRoom(name: string, wanted: number): StorageError | undefined {
    if (this.used() + wanted <= this.capacityBytes) return undefined
    return storageError(StorageErrorKind.DiskFull, name, `no room for ${wanted} bytes`)
  }

  private used(): number {
    let sum = 0
    for (const file of this.names.values()) sum += file.size
    return sum
  }

  private changeNames(change: NameChange): void {
    applyTo(this.names, change)
    this.unsyncedChanges.push(change)
  }

  /** Confirms a sync after the delay, unless the disk crashed meanwhile. */
  private afterDelay(name: string, confirm: () => void): Effect.Effect<void, StorageError> {
    const crashes = this.crashes
    const settle = Effect.suspend(() => {
      if (this.crashes !== crashes) return Effect.fail(lostInCrash(name))
      confirm()
      return Effect.void
    })
    return this.syncDelayMs > 0 ? Effect.delay(settle, this.syncDelayMs) : settle
  }
}

function fileNotFound(name: string): StorageError {
  return storageError(StorageErrorKind.WriteFailed, name, 'the file does not exist')
}

function lostInCrash(name: string): StorageError {
  return storageError(StorageErrorKind.SyncFailed, name, 'the disk crashed during the sync')
}
