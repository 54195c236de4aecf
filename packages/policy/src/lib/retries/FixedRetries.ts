import { RetryBudget } from './RetryBudget'

const MAX_ATTEMPTS = 3

/** Baseline: a fixed number of immediate retries, whatever the load. @public */
export class FixedRetries extends RetryBudget {
  override recordNewTasks(): void {
    // The number of retries does not depend on the amount of new work.
  }

  override takeRetry(_now: number, attempt: number): number | undefined {
    return attempt < MAX_ATTEMPTS ? 0 : undefined
  }
}
