/**
 * Decides when the receipts of one stream go out. The first batch after a pause is answered at
 * once; while batches come faster than the gap, one receipt answers all that came within it.
 *
 * @internal
 */
export class ReceiptPace {
  #sentAt = -Infinity
  #isWaiting = false

  constructor(private readonly gapMs: number) {}

  /**
   * A batch came.
   *
   * @returns after how many milliseconds a receipt is to go out; undefined when one is under way
   */
  note(now: number): number | undefined {
    if (this.#isWaiting) return undefined
    this.#isWaiting = true
    return Math.max(0, this.#sentAt + this.gapMs - now)
  }

  /** The receipt goes out, for all batches that came so far. */
  noteSent(now: number): void {
    this.#isWaiting = false
    this.#sentAt = now
  }
}
