import type { ControlSnapshot, HardState, LogEntry } from '@cherryhitch/protocol'
import type { PersistBatch, SendAction } from './ControlAction'

interface Draft {
  hardState: HardState | undefined
  snapshot: ControlSnapshot | undefined
  truncateAfter: number | undefined
  entries: LogEntry[]
  held: SendAction[]
}

interface InFlight {
  readonly id: number
  /** Last index that is on the disk once the batch is synced. */
  lastIndex: number
  readonly held: SendAction[]
}

function emptyDraft(): Draft {
  return {
    hardState: undefined,
    snapshot: undefined,
    truncateAfter: undefined,
    entries: [],
    held: [],
  }
}

/**
 * Collects what has to be synced while one batch is out, so that it all goes out together in the
 * next one, and holds messages back until what they say is on the disk.
 *
 * @internal
 */
export class PersistQueue {
  #nextId = 1
  #draft = emptyDraft()
  #inFlight: InFlight | undefined
  #durableIndex: number
  #failed = false

  constructor(durableIndex: number) {
    this.#durableIndex = durableIndex
  }

  /** Last index of the log that is known to be on the disk. */
  get durableIndex(): number {
    return this.#durableIndex
  }

  get failed(): boolean {
    return this.#failed
  }

  noteHardState(hardState: HardState): void {
    this.#draft.hardState = hardState
  }

  noteEntries(entries: readonly LogEntry[]): void {
    this.#draft.entries.push(...entries)
  }

  noteTruncation(after: number): void {
    this.#draft.truncateAfter = Math.min(this.#draft.truncateAfter ?? Infinity, after)
    this.#draft.entries = this.#draft.entries.filter((entry) => entry.index <= after)
    this.#durableIndex = Math.min(this.#durableIndex, after)
    if (this.#inFlight === undefined) return
    // What the running batch writes behind this point is gone again with the next one.
    this.#inFlight.lastIndex = Math.min(this.#inFlight.lastIndex, after)
  }

  noteSnapshot(snapshot: ControlSnapshot): void {
    this.#draft.snapshot = snapshot
  }

  /** Gives the message back when nothing is unsynced; else keeps it until everything is. */
  hold(action: SendAction): SendAction | undefined {
    if (this.#failed) return undefined
    if (this.#isDirty()) this.#draft.held.push(action)
    else if (this.#inFlight !== undefined) this.#inFlight.held.push(action)
    else return action
    return undefined
  }

  /** The next batch, when there is something to sync and none is out. */
  takeBatch(lastIndex: number): PersistBatch | undefined {
    if (this.#failed || this.#inFlight !== undefined || !this.#isDirty()) return undefined
    const { hardState, snapshot, truncateAfter, entries, held } = this.#draft
    const id = this.#nextId++
    this.#draft = emptyDraft()
    this.#inFlight = { id, lastIndex, held }
    return { id, hardState, snapshot, truncateAfter, entries }
  }

  /** The batch is on the disk: gives the messages back that waited for it. */
  finish(id: number): readonly SendAction[] {
    const done = this.#inFlight
    if (done?.id !== id || this.#failed) return []
    this.#durableIndex = done.lastIndex
    this.#inFlight = undefined
    return done.held
  }

  /** After a failure nothing is acknowledged any more: only a restart tells what the disk holds. */
  fail(): void {
    this.#failed = true
    this.#inFlight = undefined
    this.#draft = emptyDraft()
  }

  #isDirty(): boolean {
    const { hardState, snapshot, truncateAfter, entries } = this.#draft
    if (hardState !== undefined || snapshot !== undefined) return true
    return truncateAfter !== undefined || entries.length > 0
  }
}
