import type { Waiter } from '../jobs/Waiter'
import { isSameWaiter } from '../jobs/Waiter'

/** State of one caller's submission key at this coordinator. @internal */
export interface KeyEntry {
  readonly jobId: string
  readonly sequence: number
  readonly contentHash: string
  /** False once the job has ended. */
  isRunning: boolean
  /**
   * Whether every resend gets the answer. Otherwise only a resend of a request in `repliedTo`
   * gets it.
   */
  answersAnyResend: boolean
  /** The requests that were answered. If one of them is resent, its answer was lost in transit. */
  repliedTo: readonly Waiter[]
}

/** Submission keys of jobs that run here, or that ended here and whose answer is kept. @internal */
export class KeyTable {
  private readonly entries = new Map<string, KeyEntry>()

  get size(): number {
    return this.entries.size
  }

  get(keyId: string): KeyEntry | undefined {
    return this.entries.get(keyId)
  }

  put(keyId: string, entry: KeyEntry): void {
    this.entries.set(keyId, entry)
  }

  /** Removes a key, unless a later job uses it now. */
  remove(keyId: string, jobId: string): void {
    if (this.entries.get(keyId)?.jobId === jobId) this.entries.delete(keyId)
  }
}

/** Formats an id that is unique for each pair of caller and submission key. @internal */
export function formatKeyId(caller: string, submissionKey: string): string {
  return JSON.stringify([caller, submissionKey])
}

/** Whether a resent request gets the kept answer of an ended job. @internal */
export function mayReuseAnswer(entry: KeyEntry, waiter: Waiter): boolean {
  return entry.answersAnyResend || entry.repliedTo.some((other) => isSameWaiter(other, waiter))
}
