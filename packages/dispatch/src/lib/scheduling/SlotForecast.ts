/**
 * Horizon of a forecast, in milliseconds; slots that become free later count as free at its end.
 */
const HORIZON_MS = 4_096

/**
 * An empty forecast: the number of slots that become free in each millisecond from now.
 *
 * @internal
 */
export function makeFreeSlotsByMs(): Int32Array {
  return new Int32Array(HORIZON_MS)
}

/** Adds slots that become free after the given number of milliseconds. @internal */
export function addFreeSlots(freeByMs: Int32Array, afterMs: number, slots: number): void {
  const ms = Math.min(HORIZON_MS - 1, Math.max(0, Math.floor(afterMs)))
  freeByMs[ms] = (freeByMs[ms] ?? 0) + slots
}

/**
 * Computes when tasks start that are assigned to the slots of a service one after another. All
 * slots are treated as equal, and each task takes the one that becomes free first. The first free
 * millisecond never moves back, so that the cost per task doesn't depend on the number of slots.
 *
 * @internal
 */
export class SlotForecast {
  readonly #freeByMs = makeFreeSlotsByMs()
  #firstFreeMs = 0

  /** Starts over with the given free slots. */
  reset(freeByMs: Int32Array): void {
    this.#freeByMs.set(freeByMs)
    this.#firstFreeMs = 0
  }

  /**
   * Takes the slot that becomes free first, for a run of the given length.
   *
   * @returns milliseconds until the run can start; Infinity when there is no slot at all
   */
  take(runMs: number): number {
    const free = this.#freeByMs
    let first = this.#firstFreeMs
    while (first < HORIZON_MS && (free[first] ?? 0) <= 0) first++
    this.#firstFreeMs = first
    if (first === HORIZON_MS) return Infinity
    free[first] = (free[first] ?? 0) - 1
    const end = Math.min(HORIZON_MS - 1, first + Math.max(1, Math.round(runMs)))
    free[end] = (free[end] ?? 0) + 1
    return first
  }
}
