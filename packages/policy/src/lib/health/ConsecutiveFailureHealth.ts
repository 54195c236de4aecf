import { EjectingHealth } from './EjectingHealth'
import type { EjectingHealthOptions } from './EjectingHealth'

/** See `docs/design/health.md` for the measurements behind the defaults. @public */
export const defaultConsecutiveFailureOptions: EjectingHealthOptions = {
  ejectScore: 5,
  maxEjectedShare: 0.5,
  baseEjectionMs: 5000,
  maxEjectionMs: 60_000,
  probationSuccesses: 3,
  tauMs: Infinity,
  successDecayFactor: 0,
}

/**
 * Ejects an endpoint after a number of distinct jobs failed there in a row. Each ejection doubles
 * the length of the next one.
 *
 * @public
 */
export class ConsecutiveFailureHealth extends EjectingHealth {
  constructor(options: Partial<EjectingHealthOptions> = {}) {
    super({ ...defaultConsecutiveFailureOptions, ...options })
  }

  protected override ejectionMs(earlier: number): number {
    return this.options.baseEjectionMs * 2 ** earlier
  }
}
