import { seededRandom } from '@cherryhitch/model'

/**
 * Random values from a seeded generator, so that runs with the same seed are repeatable.
 *
 * @internal
 */
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

  /** A random item of the list. */
  pick<T>(items: readonly T[]): T {
    const item = items[Math.floor(this.next() * items.length)]
    if (item === undefined) throw new Error('cannot pick from an empty list')
    return item
  }
}
