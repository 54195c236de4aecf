/**
 * Length of a window, in milliseconds. The minimum covers the present window and the one before, so
 * that the drift between the two clocks does not accumulate.
 */
const WINDOW_MS = 30_000

/**
 * Measures by how much a message was slower than the fastest recent one from the same sender. The
 * clocks of sender and receiver need the same rate, but no common origin.
 *
 * One object serves one process of the sender, since another process has another clock origin.
 *
 * @internal
 */
export class ExtraDelay {
  /** Minimum difference between receive time and send time in the present window. */
  #minDifference = Infinity
  /** The same in the window before. */
  #previousMinDifference = Infinity
  #windowEndsAt = -Infinity

  /**
   * Records a message that is received now.
   *
   * @param sentMs - the sender's clock when it sent the message, in milliseconds
   * @returns delay beyond that of the fastest recent message, in milliseconds
   */
  record(now: number, sentMs: number): number {
    if (now >= this.#windowEndsAt) {
      this.#previousMinDifference = this.#minDifference
      this.#minDifference = Infinity
      this.#windowEndsAt = now + WINDOW_MS
    }
    const difference = now - sentMs
    this.#minDifference = Math.min(this.#minDifference, difference)
    return difference - Math.min(this.#minDifference, this.#previousMinDifference)
  }
}
