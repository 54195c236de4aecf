import { EjectingHealth } from './EjectingHealth'
import type { EjectingHealthOptions } from './EjectingHealth'

/** Measured in `docs/design/health.md`. @public */
export const defaultConsecutiveFailureOptions: EjectingHealthOptions = {
  ejectScore: 5,
  maxEjectedShare: 0.5,
  baseEjectionMs: 5000,
  maxEjectionMs: 60_000,
  probationSuccesses: 3,
  tauMs: Infinity,
  relief: 0,
}

/** Ejects after a number of distinct jobs failed in a row; each ejection doubles the next. @public */
export class ConsecutiveFailureHealth extends EjectingHealth {
  constructor(options: Partial<EjectingHealthOptions> = {}) {
    super({ ...defaultConsecutiveFailureOptions, ...options })
  }

  protected override ejectionMs(earlier: number): number {
    return this.options.baseEjectionMs * 2 ** earlier
  }
}
