import { seededRandom } from '@cherryhitch/model'

/** Something that is drawn in proportion to its weight. @public */
export interface Weighted {
  readonly weight: number
}

/** Draws from a seeded generator; equal seeds draw equal things. @public */
export class SeededRandom {
  /** At least 0, less than 1. */
  readonly next: () => number

  constructor(seed: number) {
    this.next = seededRandom(seed)
  }

  between(min: number, max: number): number {
    return min + this.next() * (max - min)
  }

  /** A whole number, both ends included. */
  integer(min: number, max: number): number {
    return min + Math.floor(this.next() * (max - min + 1))
  }

  /** Draws evenly over the orders of magnitude between two positive numbers. */
  logBetween(min: number, max: number): number {
    return Math.exp(this.between(Math.log(min), Math.log(max)))
  }

  /** Gaps of a Poisson process with the given mean. */
  exponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean
  }

  chance(share: number): boolean {
    return this.next() < share
  }

  /** @throws RangeError when there is nothing to pick from. */
  pick<T>(items: readonly T[]): T {
    const item = items[Math.floor(this.next() * items.length)]
    if (item === undefined) throw new RangeError('nothing to pick from')
    return item
  }

  /** @throws RangeError when there is nothing to pick from. */
  pickWeighted<T extends Weighted>(items: readonly T[]): T {
    let left = this.next() * items.reduce((sum, item) => sum + item.weight, 0)
    for (const item of items) {
      left -= item.weight
      if (left < 0) return item
    }
    const last = items.at(-1)
    if (last === undefined) throw new RangeError('nothing to pick from')
    return last
  }
}
