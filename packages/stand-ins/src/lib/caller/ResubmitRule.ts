import type { CallerAttempt } from '../ledger/CallerLedger'
import { CallerOutcome } from '../ledger/CallerLedger'

/** Whether and when a caller submits again after an attempt. @public */
export abstract class ResubmitRule {
  /**
   * @param elapsedMs - since the submission was due
   * @returns milliseconds to wait before the next attempt; undefined gives up
   */
  abstract nextWaitMs(attempt: CallerAttempt, elapsedMs: number): number | undefined
}

/** One attempt only: the baseline. @public */
export class NeverResubmit extends ResubmitRule {
  override nextWaitMs(): undefined {
    return undefined
  }
}

/** @public */
export interface PatientResubmitOptions {
  readonly maxAttempts: number
  /** Wait after a lost attempt, in milliseconds; doubles each time. */
  readonly firstWaitMs: number
  /** Gives up after this long, in milliseconds since the submission was due. */
  readonly giveUpMs: number
}

/** @public */
export const defaultPatientResubmitOptions: PatientResubmitOptions = {
  maxAttempts: 4,
  firstWaitMs: 100,
  giveUpMs: 20_000,
}

/**
 * Submits again what was refused as not run, when told to come back, and what was lost.
 * Work that may have run and is not idempotent goes again under its key only.
 *
 * @public
 */
export class PatientResubmit extends ResubmitRule {
  private readonly options: PatientResubmitOptions

  constructor(options: Partial<PatientResubmitOptions> = {}) {
    super()
    this.options = { ...defaultPatientResubmitOptions, ...options }
  }

  override nextWaitMs(attempt: CallerAttempt, elapsedMs: number): number | undefined {
    if (attempt.attempt >= this.options.maxAttempts) return undefined
    const waitMs = this.waitAfter(attempt)
    if (waitMs === undefined || elapsedMs + waitMs > this.options.giveUpMs) return undefined
    return waitMs
  }

  private waitAfter(attempt: CallerAttempt): number | undefined {
    const backoffMs = this.options.firstWaitMs * 2 ** (attempt.attempt - 1)
    switch (attempt.outcome) {
      case CallerOutcome.NotConnected:
        return backoffMs
      case CallerOutcome.NotRun:
        return attempt.retryAfterMs > 0 ? attempt.retryAfterMs : undefined
      case CallerOutcome.Broken:
      case CallerOutcome.TimedOut:
        return attempt.idempotent || attempt.key !== '' ? backoffMs : undefined
      default:
        return undefined
    }
  }
}
