/** Decides whether work that truly did not run may be tried again, and when. @public */
export abstract class RetryBudget {
  /** Counts fresh tasks, which earn the budget. */
  abstract noteFresh(now: number, tasks: number): void
  /**
   * Takes one retry out of the budget.
   *
   * @param attempt - retries of this task so far
   * @param draw - a number from 0 to 1 for the jitter
   * @returns the delay in milliseconds, or undefined when there is no budget left
   */
  abstract takeRetry(now: number, attempt: number, draw: number): number | undefined
}
