import type { Waiter } from '../jobs/Waiter'
import { isSameWaiter } from '../jobs/Waiter'

/** What this coordinator knows of one caller's key. @internal */
export interface KeyEntry {
  readonly jobId: string
  readonly sequence: number
  readonly contentHash: string
  /** False once the job has ended. */
  isRunning: boolean
  /** Whether any resend gets the answer; else only those that were answered before. */
  answersAnyResend: boolean
  /** Those that got the answer: one that asks again lost it on its way. */
  answeredWaiters: readonly Waiter[]
}

/** The keys of jobs that run here, or ended here and have a kept answer. @internal */
export class KeyBook {
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

  /** Forgets a key, unless a later job uses it now. */
  forget(keyId: string, jobId: string): void {
    if (this.entries.get(keyId)?.jobId === jobId) this.entries.delete(keyId)
  }
}

/** Names a caller's key without two pairs ever having one name. @internal */
export function formatKeyId(caller: string, submissionKey: string): string {
  return JSON.stringify([caller, submissionKey])
}

/** Whether a resend gets the answer that an ended entry stands for. @internal */
export function mayReuseAnswer(entry: KeyEntry, waiter: Waiter): boolean {
  return entry.answersAnyResend || entry.answeredWaiters.some((other) => isSameWaiter(other, waiter))
}
