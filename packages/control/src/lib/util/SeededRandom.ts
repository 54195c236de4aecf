const GOLDEN_STEP = 0x6d2b79f5
const UINT32_RANGE = 4294967296

/** A small seeded generator (mulberry32), so that runs with one seed repeat. @internal */
export class SeededRandom {
  #state: number

  constructor(seed: number) {
    this.#state = seed >>> 0
  }

  /** The next number from 0 (inclusive) to 1 (exclusive). */
  next(): number {
    this.#state = (this.#state + GOLDEN_STEP) >>> 0
    let mixed = Math.imul(this.#state ^ (this.#state >>> 15), this.#state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE
  }

  /** A number from `low` (inclusive) to `high` (exclusive). */
  between(low: number, high: number): number {
    return low + this.next() * (high - low)
  }

  /** True with the given probability. */
  chance(probability: number): boolean {
    return this.next() < probability
  }

  /** One of the items. */
  pick<T>(items: readonly T[]): T {
    const item = items[Math.floor(this.next() * items.length)]
    if (item === undefined) throw new Error('nothing to pick from')
    return item
  }
}
