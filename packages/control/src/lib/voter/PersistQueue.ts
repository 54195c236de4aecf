import type { ControlSnapshot, HardState, LogEntry } from '@cherryhitch/protocol'
import type { PersistBatch, SendAction } from './ControlAction'

interface PendingBatch {
  hardState: HardState | undefined
  snapshot: ControlSnapshot | undefined
  truncateAfter: number | undefined
  entries: LogEntry[]
  held: SendAction[]
}

interface InFlight {
  readonly id: number
  /** Last log index on the disk once the batch is synced. */
  lastIndex: number
  readonly held: SendAction[]
}

function emptyBatch(): PendingBatch {
  return {
    hardState: undefined,
    snapshot: undefined,
    truncateAfter: undefined,
    entries: [],
    held: [],
  }
}

/**
 * Collects writes while a batch is being synced, so that they are synced together in the next
 * batch, and holds back messages until the writes that they depend on are on the disk.
 *
 * @internal
 */
export class PersistQueue {
  #nextId = 1
  #pending = emptyBatch()
  #inFlight: InFlight | undefined
  #durableIndex: number
  #failed = false

  constructor(durableIndex: number) {
    this.#durableIndex = durableIndex
  }

  /** Last log index known to be on the disk. */
  get durableIndex(): number {
    return this.#durableIndex
  }

  get failed(): boolean {
    return this.#failed
  }

  queueHardState(hardState: HardState): void {
    this.#pending.hardState = hardState
  }

  queueEntries(entries: readonly LogEntry[]): void {
    this.#pending.entries.push(...entries)
  }

  queueTruncation(after: number): void {
    this.#pending.truncateAfter = Math.min(this.#pending.truncateAfter ?? Infinity, after)
    this.#pending.entries = this.#pending.entries.filter((entry) => entry.index <= after)
    this.#durableIndex = Math.min(this.#durableIndex, after)
    if (this.#inFlight === undefined) return
    // Entries after this index that the batch in flight writes are truncated by the next batch.
    this.#inFlight.lastIndex = Math.min(this.#inFlight.lastIndex, after)
  }

  queueSnapshot(snapshot: ControlSnapshot): void {
    this.#pending.snapshot = snapshot
  }

  /** Returns the message if nothing is unsynced; otherwise holds it until everything queued is. */
  holdUntilDurable(action: SendAction): SendAction | undefined {
    if (this.#failed) return undefined
    if (this.#hasPendingWrites()) this.#pending.held.push(action)
    else if (this.#inFlight !== undefined) this.#inFlight.held.push(action)
    else return action
    return undefined
  }

  /** Returns the next batch, if there is something to sync and no batch is in flight. */
  takeBatch(lastIndex: number): PersistBatch | undefined {
    if (this.#failed || this.#inFlight !== undefined || !this.#hasPendingWrites()) return undefined
    const { hardState, snapshot, truncateAfter, entries, held } = this.#pending
    const id = this.#nextId++
    this.#pending = emptyBatch()
    this.#inFlight = { id, lastIndex, held }
    return { id, hardState, snapshot, truncateAfter, entries }
  }

  /** Marks the batch as synced and returns the messages that waited for it. */
  completeBatch(id: number): readonly SendAction[] {
    const done = this.#inFlight
    if (done?.id !== id || this.#failed) return []
    this.#durableIndex = done.lastIndex
    this.#inFlight = undefined
    return done.held
  }

  /**
   * After a failed write nothing more is acknowledged: the contents of the disk are unknown until
   * they are read back.
   */
  markFailed(): void {
    this.#failed = true
    this.#inFlight = undefined
    this.#pending = emptyBatch()
  }

  #hasPendingWrites(): boolean {
    const { hardState, snapshot, truncateAfter, entries } = this.#pending
    if (hardState !== undefined || snapshot !== undefined) return true
    return truncateAfter !== undefined || entries.length > 0
  }
}
