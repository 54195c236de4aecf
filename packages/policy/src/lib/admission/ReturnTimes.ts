/** Bounds of a Retry-After, in milliseconds. */
const MIN_RETRY_AFTER_MS = 250
const MAX_RETRY_AFTER_MS = 60_000

/**
 * Hands out instants at which refused work may come back, one after the other at the pace at
 * which the service can take it. Telling all of a burst the same instant would only move it.
 *
 * @internal
 */
export class ReturnTimes {
  private bookedUntil = 0

  /** @param paced - false tells everyone when there is room for it alone: the baseline */
  constructor(private readonly paced: boolean) {}

  /**
   * @param delayMs - when there is room for this job, were it alone
   * @param serviceMs - how long the service needs for it
   * @returns milliseconds from now
   */
  book(now: number, delayMs: number, serviceMs: number): number {
    const latest = now + MAX_RETRY_AFTER_MS
    const at = Math.min(
      latest,
      Math.max(now + Math.max(MIN_RETRY_AFTER_MS, delayMs), this.bookedUntil),
    )
    if (this.paced) this.bookedUntil = Math.min(latest, at + serviceMs)
    return Math.ceil(at - now)
  }
}
