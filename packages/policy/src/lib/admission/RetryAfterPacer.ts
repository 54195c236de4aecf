/** Bounds of a Retry-After, in milliseconds. */
const MIN_RETRY_AFTER_MS = 250
const MAX_RETRY_AFTER_MS = 60_000

/**
 * Assigns retry times to refused jobs one after another, at the rate at which the service can take
 * the jobs. Giving the same retry time to a whole burst would only postpone it.
 *
 * @internal
 */
export class RetryAfterPacer {
  private reservedUntil = 0

  /** @param paced - if false, each retry time ignores the other refused jobs (baseline) */
  constructor(private readonly paced: boolean) {}

  /**
   * @param delayMs - time until there is capacity for this job, if no other job is waiting to retry
   * @param serviceMs - time that the service needs for the job
   * @returns the delay before the retry, in milliseconds
   */
  reserve(now: number, delayMs: number, serviceMs: number): number {
    const latest = now + MAX_RETRY_AFTER_MS
    const at = Math.min(
      latest,
      Math.max(now + Math.max(MIN_RETRY_AFTER_MS, delayMs), this.reservedUntil),
    )
    if (this.paced) this.reservedUntil = Math.min(latest, at + serviceMs)
    return Math.ceil(at - now)
  }
}
