/**
 * Limits the rate of batched sends. The first item after a pause is sent at once; items that arrive
 * within the minimum interval after a send are sent together at its end.
 *
 * @public
 */
export class BatchPacer {
  #lastSentAt = -Infinity
  #isPending = false

  /** @param intervalMs - minimum interval between two sends, in milliseconds; 0 disables batching */
  constructor(private readonly intervalMs: number) {}

  /**
   * Called when an item is ready to be sent.
   *
   * @returns the delay after which to send, in milliseconds; undefined if a send is already pending
   */
  requestSend(now: number): number | undefined {
    if (this.#isPending) return undefined
    this.#isPending = true
    return Math.max(0, this.#lastSentAt + this.intervalMs - now)
  }

  /** Called when all pending items have been sent. */
  recordSend(now: number): void {
    this.#isPending = false
    this.#lastSentAt = now
  }
}
