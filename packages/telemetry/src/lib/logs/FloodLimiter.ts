/** Rate limits of log lines. @public */
export interface FloodLimits {
  /** Lines with the same part, level and message per period. */
  readonly maxRepeats: number
  /** Lines in total per period. */
  readonly maxLines: number
  readonly periodMs: number
}

/** @public */
export const defaultFloodLimits: FloodLimits = { maxRepeats: 10, maxLines: 500, periodMs: 1000 }

/** Number of lines that were suppressed in one period. @internal */
export interface FloodSummary<Key> {
  /** Undefined for untracked lines above the total limit. */
  readonly key: Key | undefined
  readonly count: number
}

interface Tally<Key> {
  readonly key: Key
  passed: number
  suppressed: number
}

/**
 * Limits the rate of log lines, so that a repeating fault can't fill the disk.
 *
 * Memory is bounded: at most `maxLines` kinds of lines are tracked per period; lines of further
 * kinds are only counted.
 *
 * @internal
 */
export class FloodLimiter<Key> {
  #periodStart = -Infinity
  #lines = 0
  #untracked = 0
  readonly #tallies = new Map<string, Tally<Key>>()

  constructor(private readonly limits: FloodLimits = defaultFloodLimits) {}

  /** Returns whether a line may be written; `id` identifies its kind. */
  admit(now: number, id: string, key: Key): boolean {
    if (now - this.#periodStart >= this.limits.periodMs && !this.#hasSuppressed())
      this.#restart(now)
    const tally = this.#tallies.get(id)
    if (tally !== undefined && tally.passed >= this.limits.maxRepeats) {
      tally.suppressed += 1
      return false
    }
    if (this.#lines >= this.limits.maxLines) {
      if (tally === undefined) this.#untracked += 1
      else tally.suppressed += 1
      return false
    }
    this.#lines += 1
    if (tally === undefined) this.#tallies.set(id, { key, passed: 1, suppressed: 0 })
    else tally.passed += 1
    return true
  }

  /** Ends the period if it has elapsed and returns its summaries; to be called periodically. */
  sweep(now: number): readonly FloodSummary<Key>[] {
    return now - this.#periodStart < this.limits.periodMs ? [] : this.flush(now)
  }

  /** Ends the period immediately and returns its summaries. */
  flush(now: number): readonly FloodSummary<Key>[] {
    const summaries: FloodSummary<Key>[] = []
    for (const { key, suppressed } of this.#tallies.values()) {
      if (suppressed > 0) summaries.push({ key, count: suppressed })
    }
    if (this.#untracked > 0) summaries.push({ key: undefined, count: this.#untracked })
    this.#restart(now)
    return summaries
  }

  /** A period with suppressed lines stays open until `sweep` has reported them. */
  #hasSuppressed(): boolean {
    if (this.#untracked > 0) return true
    for (const { suppressed } of this.#tallies.values()) if (suppressed > 0) return true
    return false
  }

  #restart(now: number): void {
    this.#periodStart = now
    this.#lines = 0
    this.#untracked = 0
    this.#tallies.clear()
  }
}
