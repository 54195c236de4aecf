/**
 * When places become free, as far as it can be known: each run ends after its estimate. Places are
 * taken for alike; a task takes the first that becomes free.
 *
 * @internal
 */
export class PlaceForecast {
  /** Times at which places become free, the earliest first. */
  readonly #freeAt: number[]
  #first = 0

  /** @param freeAt - the earliest first */
  constructor(freeAt: readonly number[]) {
    this.#freeAt = freeAt.slice()
  }

  /**
   * Takes the place that becomes free first.
   *
   * @returns when a run can begin there; Infinity when there is no place at all
   */
  take(now: number, runMs: number): number {
    const freeAt = this.#freeAt[this.#first]
    if (freeAt === undefined) return Infinity
    this.#first++
    const startAt = Math.max(now, freeAt)
    this.#insert(startAt + runMs)
    return startAt
  }

  #insert(time: number): void {
    let low = this.#first
    let high = this.#freeAt.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((this.#freeAt[middle] ?? Infinity) <= time) low = middle + 1
      else high = middle
    }
    this.#freeAt.splice(low, 0, time)
  }
}
