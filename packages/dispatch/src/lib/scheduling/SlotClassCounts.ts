import { addFreeSlots, makeFreeSlotsByMs } from './SlotForecast'
import type { SlotClass } from './SlotForecast'

/** Counts the slots of one speed class by when they become free. @internal */
export class SlotClassCounts implements SlotClass {
  readonly freeByMs = makeFreeSlotsByMs()
  #slots = 0
  #slownessSum = 0

  /** Mean slowness of its slots. */
  get slowness(): number {
    return this.#slots === 0 ? 1 : this.#slownessSum / this.#slots
  }

  get isEmpty(): boolean {
    return this.#slots === 0
  }

  clear(): void {
    this.freeByMs.fill(0)
    this.#slots = 0
    this.#slownessSum = 0
  }

  /** Adds slots of endpoints of the given slowness that become free after a time. */
  add(afterMs: number, slots: number, slowness: number): void {
    if (slots === 0) return
    addFreeSlots(this.freeByMs, afterMs, slots)
    this.#slots += slots
    this.#slownessSum += slots * slowness
  }
}
