import { RetryBudget } from './RetryBudget'

/** @public */
export interface ShareRetryBudgetOptions {
  /** Retries that each new task adds to the budget, 0 to 1. */
  readonly share: number
  /**
   * Capacity of the bucket, in retries. The bucket starts full, so that retries are possible before
   * there has been much new work.
   */
  readonly maxTokens: number
  /** Maximum number of retries of one task. */
  readonly maxAttempts: number
  /** Upper bound of the first delay, in milliseconds; it doubles with each attempt. */
  readonly baseDelayMs: number
  readonly maxDelayMs: number
}

/**
 * `baseDelayMs` is the lower end of typical run times (50 ms): after that time, a busy slot has a
 * fair chance of being free. The design note explains the other values.
 *
 * @public
 */
export const defaultShareRetryBudgetOptions: ShareRetryBudgetOptions = {
  share: 0.1,
  maxTokens: 100,
  maxAttempts: 4,
  baseDelayMs: 50,
  maxDelayMs: 2000,
}

/** Allows for rounding: ten times 0.1 adds up to slightly less than 1. */
const ROUNDING_TOLERANCE = 1e-9

/**
 * Token bucket that is filled by new tasks, so that retries stay a bounded share of new work,
 * however much of it fails. Delays grow exponentially with full jitter.
 *
 * @public
 */
export class ShareRetryBudget extends RetryBudget {
  private readonly options: ShareRetryBudgetOptions
  private tokens: number

  constructor(options: Partial<ShareRetryBudgetOptions> = {}) {
    super()
    this.options = { ...defaultShareRetryBudgetOptions, ...options }
    this.tokens = this.options.share > 0 ? this.options.maxTokens : 0
  }

  override recordNewTasks(_now: number, tasks: number): void {
    this.tokens = Math.min(this.options.maxTokens, this.tokens + tasks * this.options.share)
  }

  override takeRetry(_now: number, attempt: number, draw: number): number | undefined {
    const { maxAttempts, baseDelayMs, maxDelayMs } = this.options
    if (attempt >= maxAttempts || this.tokens < 1 - ROUNDING_TOLERANCE) return undefined
    this.tokens = Math.max(0, this.tokens - 1)
    return draw * Math.min(maxDelayMs, baseDelayMs * 2 ** attempt)
  }
}
