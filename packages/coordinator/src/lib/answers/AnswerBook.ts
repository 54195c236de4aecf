import type { JobAnswer } from '@cherryhitch/protocol'

/** Counted for each kept answer beside its outputs. */
const FIXED_CHARS = 300

/** @internal */
export interface KeptAnswer {
  readonly jobId: string
  readonly caller: string
  readonly answer: JobAnswer
  /** Entry in the book of keys that goes with this answer; empty when there is none. */
  readonly keyId: string
}

interface Entry {
  readonly kept: KeptAnswer
  readonly chars: number
  readonly expiresAt: number
}

/** @internal */
export interface AnswerBookOptions {
  readonly retentionMs: number
  readonly maxAnswers: number
  readonly maxChars: number
  readonly onDropped: (kept: KeptAnswer) => void
}

/**
 * Answers of ended jobs for later questions, bounded by time, number and size. All are kept for
 * the same time, so the oldest one is always the next to go.
 *
 * @internal
 */
export class AnswerBook {
  private readonly entries = new Map<string, Entry>()
  private chars = 0

  constructor(private readonly options: AnswerBookOptions) {}

  get size(): number {
    return this.entries.size
  }

  keep(now: number, kept: KeptAnswer): void {
    const chars = charsOf(kept.answer)
    const expiresAt = now + this.options.retentionMs
    this.entries.set(kept.jobId, { kept, chars, expiresAt })
    this.chars += chars
    this.enforceBounds()
  }

  get(now: number, jobId: string): KeptAnswer | undefined {
    const entry = this.entries.get(jobId)
    return entry === undefined || entry.expiresAt <= now ? undefined : entry.kept
  }

  expire(now: number): void {
    for (const entry of this.entries.values()) {
      if (entry.expiresAt > now) return
      this.drop(entry)
    }
  }

  private enforceBounds(): void {
    for (const entry of this.entries.values()) {
      const isWithin = this.chars <= this.options.maxChars
      if (isWithin && this.entries.size <= this.options.maxAnswers) return
      this.drop(entry)
    }
  }

  private drop(entry: Entry): void {
    this.entries.delete(entry.kept.jobId)
    this.chars -= entry.chars
    this.options.onDropped(entry.kept)
  }
}

function charsOf(answer: JobAnswer): number {
  let chars = FIXED_CHARS + answer.detail.length
  for (const output of answer.outputs) chars += output.length
  return chars
}
