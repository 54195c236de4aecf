/** Milliseconds that a forecast looks ahead; what becomes free later counts as free at its end. */
const HORIZON_MS = 4_096

/** An empty forecast: for each millisecond from now on, how many places become free in it. @internal */
export function makeFreeByMs(): Int32Array {
  return new Int32Array(HORIZON_MS)
}

/** Counts places that become free after a time, in milliseconds. @internal */
export function addFreePlace(freeByMs: Int32Array, afterMs: number, places: number): void {
  const ms = Math.min(HORIZON_MS - 1, Math.max(0, Math.floor(afterMs)))
  freeByMs[ms] = (freeByMs[ms] ?? 0) + places
}

/**
 * When tasks begin that take the places of a service one after the other. Places are taken for
 * alike, and each task takes the first that becomes free. The first free millisecond never moves
 * back, so that a task costs the same however many places there are.
 *
 * @internal
 */
export class PlaceForecast {
  readonly #freeByMs = makeFreeByMs()
  #first = 0

  /** Begins anew with such places. */
  reset(freeByMs: Int32Array): void {
    this.#freeByMs.set(freeByMs)
    this.#first = 0
  }

  /**
   * Takes the place that becomes free first.
   *
   * @returns milliseconds until a run can begin there; Infinity when there is no place at all
   */
  take(runMs: number): number {
    const free = this.#freeByMs
    let first = this.#first
    while (first < HORIZON_MS && (free[first] ?? 0) <= 0) first++
    this.#first = first
    if (first === HORIZON_MS) return Infinity
    free[first] = (free[first] ?? 0) - 1
    const end = Math.min(HORIZON_MS - 1, first + Math.max(1, Math.round(runMs)))
    free[end] = (free[end] ?? 0) + 1
    return first
  }
}
