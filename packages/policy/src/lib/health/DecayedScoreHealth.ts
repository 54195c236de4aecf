import { EjectingHealth } from './EjectingHealth'
import type { EjectingHealthOptions } from './EjectingHealth'

/** @public */
export interface DecayedScoreOptions extends EjectingHealthOptions {
  /** How fast the length of ejections approaches its maximum: the k of the saturating curve. */
  readonly aggressiveness: number
}

/** See `docs/design/health.md` for the measurements behind the defaults. @public */
export const defaultDecayedScoreOptions: DecayedScoreOptions = {
  ejectScore: 4.5,
  maxEjectedShare: 0.5,
  baseEjectionMs: 5000,
  maxEjectionMs: 60_000,
  probationSuccesses: 3,
  tauMs: 20_000,
  successDecayFactor: 0.85,
  aggressiveness: 0.5,
}

/**
 * Ejects an endpoint by a score that sums its recent failures, each decaying exponentially with its
 * age, so that an endpoint that fails only some of its tasks is detected too. The length of an
 * ejection is a saturating function of the number of earlier ejections, which decay the same way.
 *
 * The score and the curve come from `PAPER-download-retry-backoff-system-a286`, which uses them to
 * pace retries. Lowering the score after each success is an addition to that method.
 *
 * @public
 */
export class DecayedScoreHealth extends EjectingHealth {
  private readonly aggressiveness: number

  constructor(options: Partial<DecayedScoreOptions> = {}) {
    const all = { ...defaultDecayedScoreOptions, ...options }
    super(all)
    this.aggressiveness = all.aggressiveness
  }

  protected override ejectionMs(earlier: number): number {
    const { baseEjectionMs, maxEjectionMs } = this.options
    const maxFactor = maxEjectionMs / baseEjectionMs
    return baseEjectionMs * (1 + (maxFactor - 1) * (1 - Math.exp(-this.aggressiveness * earlier)))
  }
}
