/**
 * Decides when something goes out that may be gathered for a while. The first after a pause goes
 * at once; while more comes within the gap, all of it goes together at its end.
 *
 * @public
 */
export class GatherPace {
  #sentAt = -Infinity
  #isWaiting = false

  /** @param gapMs - least time between two sendings, in milliseconds; 0 gathers nothing */
  constructor(private readonly gapMs: number) {}

  /**
   * There is something to send.
   *
   * @returns after how many milliseconds to send; undefined when that is under way already
   */
  note(now: number): number | undefined {
    if (this.#isWaiting) return undefined
    this.#isWaiting = true
    return Math.max(0, this.#sentAt + this.gapMs - now)
  }

  /** All that there was is sent. */
  noteSent(now: number): void {
    this.#isWaiting = false
    this.#sentAt = now
  }
}
