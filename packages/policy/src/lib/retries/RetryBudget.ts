/** Decides whether and when a task that is known not to have run may be retried. @public */
export abstract class RetryBudget {
  /** Counts first attempts of tasks, which add to the budget. */
  abstract recordNewTasks(now: number, tasks: number): void
  /**
   * Takes one retry from the budget.
   *
   * @param attempt - retries of this task so far
   * @param draw - random number from 0 to 1 for the jitter
   * @returns the delay in milliseconds, or undefined when there is no budget left
   */
  abstract takeRetry(now: number, attempt: number, draw: number): number | undefined
}
