/** Clocks drift apart: the shortest way is looked for among the messages of so long, or twice that. */
const WINDOW_MS = 30_000

/**
 * How much longer than the quickest of late messages took, by the clocks of sender and receiver, which have
 * nothing in common but their pace. What one process has sent is told from what an earlier one has.
 *
 * @internal
 */
export class ExtraDelay {
  /** Least difference between the two clocks in the present window, and in the one before. */
  #least = Infinity
  #leastBefore = Infinity
  #windowEndsAt = -Infinity

  /**
   * Takes a message in.
   *
   * @param sentMs - the sender's clock when it sent the message, in milliseconds
   * @returns by how much its way was longer, in milliseconds
   */
  note(now: number, sentMs: number): number {
    if (now >= this.#windowEndsAt) {
      this.#leastBefore = this.#least
      this.#least = Infinity
      this.#windowEndsAt = now + WINDOW_MS
    }
    const difference = now - sentMs
    this.#least = Math.min(this.#least, difference)
    return difference - Math.min(this.#least, this.#leastBefore)
  }
}
