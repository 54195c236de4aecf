import { seededRandom } from '@cherryhitch/model'

/** What a run draws from a seeded generator, so that runs with one seed repeat. @internal */
export class SeededRandom {
  /** The next number from 0 (inclusive) to 1 (exclusive). */
  readonly next: () => number

  constructor(seed: number) {
    this.next = seededRandom(seed)
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
