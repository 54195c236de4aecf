import { RetryBudget } from './RetryBudget'

const MAX_ATTEMPTS = 3

/** Baseline: a fixed number of retries at once, whatever the load. @public */
export class FixedRetries extends RetryBudget {
  override noteFresh(): void {
    // Fresh work earns nothing here.
  }

  override takeRetry(_now: number, attempt: number): number | undefined {
    return attempt < MAX_ATTEMPTS ? 0 : undefined
  }
}
