import type { JobAnswer } from '@cherryhitch/protocol'

/** Counted for each kept answer beside its outputs. */
const ANSWER_OVERHEAD_CHARS = 300

/** @internal */
export interface CachedAnswer {
  readonly jobId: string
  readonly caller: string
  readonly answer: JobAnswer
  /** Entry in the book of keys that goes with this answer; empty when there is none. */
  readonly keyId: string
}

interface Entry {
  readonly kept: CachedAnswer
  readonly chars: number
  readonly expiresAt: number
}

/** @internal */
export interface AnswerCacheOptions {
  readonly retentionMs: number
  readonly maxAnswers: number
  readonly maxChars: number
  readonly onEvicted: (kept: CachedAnswer) => void
}

/**
 * Answers of ended jobs for later questions, bounded by time, number and size. All are kept for
 * the same time, so the oldest one is always the next to go.
 *
 * @internal
 */
export class AnswerCache {
  private readonly entries = new Map<string, Entry>()
  private chars = 0

  constructor(private readonly options: AnswerCacheOptions) {}

  get size(): number {
    return this.entries.size
  }

  add(now: number, kept: CachedAnswer): void {
    const chars = answerChars(kept.answer)
    const expiresAt = now + this.options.retentionMs
    this.entries.set(kept.jobId, { kept, chars, expiresAt })
    this.chars += chars
    this.enforceBounds()
  }

  get(now: number, jobId: string): CachedAnswer | undefined {
    const entry = this.entries.get(jobId)
    return entry === undefined || entry.expiresAt <= now ? undefined : entry.kept
  }

  expire(now: number): void {
    for (const entry of this.entries.values()) {
      if (entry.expiresAt > now) return
      this.evict(entry)
    }
  }

  private enforceBounds(): void {
    for (const entry of this.entries.values()) {
      const isWithin = this.chars <= this.options.maxChars
      if (isWithin && this.entries.size <= this.options.maxAnswers) return
      this.evict(entry)
    }
  }

  private evict(entry: Entry): void {
    this.entries.delete(entry.kept.jobId)
    this.chars -= entry.chars
    this.options.onEvicted(entry.kept)
  }
}

function answerChars(answer: JobAnswer): number {
  let chars = ANSWER_OVERHEAD_CHARS + answer.detail.length
  for (const output of answer.outputs) chars += output.length
  return chars
}
