import { RetryBudget } from './RetryBudget'

/** @public */
export interface ShareRetryBudgetOptions {
  /** Retries earned by each fresh task, 0 to 1. */
  readonly share: number
  /** Retries that can be saved up, which a system without much fresh work also starts with. */
  readonly maxSaved: number
  /** Retries of one task. */
  readonly maxAttempts: number
  /** Upper end of the first delay, in milliseconds; it doubles with each attempt. */
  readonly baseDelayMs: number
  readonly maxDelayMs: number
}

/**
 * `baseDelayMs` is the lower end of the tasks' usual run times by the users' pages (50 ms): by
 * then a busy slot has a fair chance of being free. The design note gives the others' reasons.
 *
 * @public
 */
export const defaultShareRetryBudgetOptions: ShareRetryBudgetOptions = {
  share: 0.1,
  maxSaved: 100,
  maxAttempts: 4,
  baseDelayMs: 50,
  maxDelayMs: 2000,
}

/** Ten tenths add up to a little less than 1. */
const ROUNDING = 1e-9

/**
 * Token bucket that fresh work fills, so that retries stay a bounded share of it however much
 * fails; delays grow exponentially with full jitter.
 *
 * @public
 */
export class ShareRetryBudget extends RetryBudget {
  private readonly options: ShareRetryBudgetOptions
  private saved: number

  constructor(options: Partial<ShareRetryBudgetOptions> = {}) {
    super()
    this.options = { ...defaultShareRetryBudgetOptions, ...options }
    this.saved = this.options.share > 0 ? this.options.maxSaved : 0
  }

  override noteFresh(_now: number, tasks: number): void {
    this.saved = Math.min(this.options.maxSaved, this.saved + tasks * this.options.share)
  }

  override takeRetry(_now: number, attempt: number, draw: number): number | undefined {
    const { maxAttempts, baseDelayMs, maxDelayMs } = this.options
    if (attempt >= maxAttempts || this.saved < 1 - ROUNDING) return undefined
    this.saved = Math.max(0, this.saved - 1)
    return draw * Math.min(maxDelayMs, baseDelayMs * 2 ** attempt)
  }
}
