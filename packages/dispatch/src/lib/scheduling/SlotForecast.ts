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

/** Slots of about equal speed. @public */
export interface SlotClass {
  /** Number of slots that become free in each millisecond from now. */
  readonly freeByMs: Int32Array
  /** Ratio of run times in these slots to the estimated ones. */
  readonly slowness: number
}

/** The slots of a class during a forecast. */
class ClassForecast {
  slowness = 1
  readonly #freeByMs = makeFreeSlotsByMs()
  #firstFreeMs = 0

  reset({ freeByMs, slowness }: SlotClass): void {
    this.#freeByMs.set(freeByMs)
    this.#firstFreeMs = 0
    this.slowness = slowness
  }

  /** Milliseconds until the first slot is free; `HORIZON_MS` when there is none. */
  findFirst(): number {
    const free = this.#freeByMs
    let first = this.#firstFreeMs
    while (first < HORIZON_MS && (free[first] ?? 0) <= 0) first++
    this.#firstFreeMs = first
    return first
  }

  /** Takes the slot that is free first until a run of the given length has ended. */
  takeFirst(first: number, runMs: number): void {
    const free = this.#freeByMs
    free[first] = (free[first] ?? 0) - 1
    const end = Math.min(HORIZON_MS - 1, first + Math.max(1, Math.round(runMs)))
    free[end] = (free[end] ?? 0) + 1
  }
}

/**
 * Computes when tasks start that are assigned to the slots of a service one after another. The
 * slots of a class are treated as equal, and each task takes the one that becomes free first. The
 * first free millisecond never moves back, so that the cost per task doesn't depend on the number
 * of slots.
 *
 * With several classes, a task takes a slot of the slowest class in which it is in time, or else
 * the slot in which it ends first.
 *
 * @internal
 */
export class SlotForecast {
  readonly #first = new ClassForecast()
  readonly #others: ClassForecast[] = []
  /** Number of `#others` in use. */
  #otherCount = 0

  /** Starts over with the given free slots, by speed. */
  reset(classes: readonly SlotClass[]): void {
    this.#first.reset(classes[0] ?? { freeByMs: makeFreeSlotsByMs(), slowness: 1 })
    this.#otherCount = Math.max(0, classes.length - 1)
    for (let index = 0; index < this.#otherCount; index++) {
      const slots = classes[index + 1]
      const forecast = (this.#others[index] ??= new ClassForecast())
      if (slots !== undefined) forecast.reset(slots)
    }
  }

  /**
   * Takes a slot for a run.
   *
   * @param runMs - length of the run at average speed
   * @param latestStartMs - until when the run would have to start at average speed
   * @returns milliseconds until the run would have to start at average speed to end when it does;
   *   Infinity when there is no slot at all
   */
  take(runMs: number, latestStartMs = 0): number {
    const slots = this.#otherCount === 0 ? this.#first : this.#choose(runMs, latestStartMs)
    const first = slots.findFirst()
    if (first === HORIZON_MS) return Infinity
    slots.takeFirst(first, slots.slowness * runMs)
    return Math.max(0, startAtAverageSpeed(first, slots, runMs))
  }

  /** Takes the slot that becomes free first for longer than the forecast. */
  reserve(): void {
    let slots = this.#first
    for (let index = 0; index < this.#otherCount; index++) {
      const other = this.#others[index]
      if (other !== undefined && other.findFirst() < slots.findFirst()) slots = other
    }
    const first = slots.findFirst()
    if (first < HORIZON_MS) slots.takeFirst(first, HORIZON_MS)
  }

  /**
   * Milliseconds until a run would end in the slot that is best for it, without taking the slot.
   */
  peekEnd(runMs: number): number {
    const slots = this.#choose(runMs, -Infinity)
    return slots.findFirst() + slots.slowness * runMs
  }

  #choose(runMs: number, latestStartMs: number): ClassForecast {
    let best = this.#first
    let bestStart = Infinity
    // Classes are in the order of their speed, so the last one that is in time is the slowest.
    for (let index = this.#otherCount - 1; index >= -1; index--) {
      const slots = index < 0 ? this.#first : this.#others[index]
      if (slots === undefined) continue
      const first = slots.findFirst()
      if (first === HORIZON_MS) continue
      const start = startAtAverageSpeed(first, slots, runMs)
      if (start <= latestStartMs) return slots
      if (start > bestStart) continue
      best = slots
      bestStart = start
    }
    return best
  }
}

/** When a run in a slot that is free at `first` would have to start at average speed. */
function startAtAverageSpeed(first: number, { slowness }: ClassForecast, runMs: number): number {
  return first + (slowness - 1) * runMs
}
