import type { JobAnswer } from '@cherryhitch/protocol'

/** Fixed size counted for each answer, in addition to its outputs and its detail text. */
const ANSWER_OVERHEAD_CHARS = 300

/** @internal */
export interface CachedAnswer {
  readonly jobId: string
  readonly caller: string
  readonly answer: JobAnswer
  /** Id of the submission key entry that refers to this answer; empty for a job without a key. */
  readonly keyId: string
}

interface Entry {
  readonly cached: CachedAnswer
  readonly chars: number
  readonly expiresAt: number
}

/** @internal */
export interface AnswerCacheOptions {
  readonly retentionMs: number
  readonly maxAnswers: number
  readonly maxChars: number
  readonly onEvicted: (cached: CachedAnswer) => void
}

/**
 * Answers of ended jobs for later queries, bounded by age, number and total size. All have the same
 * retention period, so entries expire and are evicted in insertion order.
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

  add(now: number, cached: CachedAnswer): void {
    const chars = answerChars(cached.answer)
    const expiresAt = now + this.options.retentionMs
    this.entries.set(cached.jobId, { cached, chars, expiresAt })
    this.chars += chars
    this.enforceBounds()
  }

  get(now: number, jobId: string): CachedAnswer | undefined {
    const entry = this.entries.get(jobId)
    return entry === undefined || entry.expiresAt <= now ? undefined : entry.cached
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
    this.entries.delete(entry.cached.jobId)
    this.chars -= entry.chars
    this.options.onEvicted(entry.cached)
  }
}

function answerChars(answer: JobAnswer): number {
  let chars = ANSWER_OVERHEAD_CHARS + answer.detail.length
  for (const output of answer.outputs) chars += output.length
  return chars
}
