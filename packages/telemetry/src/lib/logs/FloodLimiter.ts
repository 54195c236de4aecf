/** How many log lines get through; times in milliseconds. @public */
export interface FloodLimits {
  /** Lines with the same part, level and sentence per period. */
  readonly maxRepeats: number
  /** Lines of all kinds per period. */
  readonly maxLines: number
  readonly periodMs: number
}

/** @public */
export const defaultFloodLimits: FloodLimits = { maxRepeats: 10, maxLines: 500, periodMs: 1000 }

/** Lines that were held back in one period. @internal */
export interface FloodSummary<Key> {
  /** Undefined for the lines above the limit of all kinds. */
  readonly key: Key | undefined
  readonly count: number
}

interface Tally<Key> {
  readonly key: Key
  passed: number
  heldBack: number
}

/**
 * Decides which log lines get through, so that a fault that repeats can't fill the disk.
 *
 * Memory is bounded: a period remembers at most `maxLines` kinds of lines, and only counts
 * what comes beyond.
 *
 * @internal
 */
export class FloodLimiter<Key> {
  #periodStart = -Infinity
  #lines = 0
  #unsorted = 0
  readonly #tallies = new Map<string, Tally<Key>>()

  constructor(private readonly limits: FloodLimits = defaultFloodLimits) {}

  /** Tells whether a line gets through; `id` names its kind. */
  admit(now: number, id: string, key: Key): boolean {
    if (now - this.#periodStart >= this.limits.periodMs && !this.#holdsBack()) this.#restart(now)
    const tally = this.#tallies.get(id)
    if (tally !== undefined && tally.passed >= this.limits.maxRepeats) {
      tally.heldBack += 1
      return false
    }
    if (this.#lines >= this.limits.maxLines) {
      if (tally === undefined) this.#unsorted += 1
      else tally.heldBack += 1
      return false
    }
    this.#lines += 1
    if (tally === undefined) this.#tallies.set(id, { key, passed: 1, heldBack: 0 })
    else tally.passed += 1
    return true
  }

  /** Ends a period that is over and says what it held back; called at a steady pace. */
  sweep(now: number): readonly FloodSummary<Key>[] {
    return now - this.#periodStart < this.limits.periodMs ? [] : this.flush(now)
  }

  /** Ends the period at once. */
  flush(now: number): readonly FloodSummary<Key>[] {
    const summaries: FloodSummary<Key>[] = []
    for (const { key, heldBack } of this.#tallies.values()) {
      if (heldBack > 0) summaries.push({ key, count: heldBack })
    }
    if (this.#unsorted > 0) summaries.push({ key: undefined, count: this.#unsorted })
    this.#restart(now)
    return summaries
  }

  /** A period with something to tell stays open until the sweep has told it. */
  #holdsBack(): boolean {
    if (this.#unsorted > 0) return true
    for (const { heldBack } of this.#tallies.values()) if (heldBack > 0) return true
    return false
  }

  #restart(now: number): void {
    this.#periodStart = now
    this.#lines = 0
    this.#unsorted = 0
    this.#tallies.clear()
  }
}
