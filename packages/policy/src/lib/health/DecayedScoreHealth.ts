import { EjectingHealth } from './EjectingHealth'
import type { EjectingHealthOptions } from './EjectingHealth'

/** @public */
export interface DecayedScoreOptions extends EjectingHealthOptions {
  /** How soon the length of an ejection nears its maximum: the k of the curve. */
  readonly aggressiveness: number
}

/** Measured in `docs/design/health.md`. @public */
export const defaultDecayedScoreOptions: DecayedScoreOptions = {
  ejectScore: 4.5,
  maxEjectedShare: 0.5,
  baseEjectionMs: 5000,
  maxEjectionMs: 60_000,
  probationSuccesses: 3,
  tauMs: 20_000,
  relief: 0.85,
  aggressiveness: 0.5,
}

/**
 * Ejects by a score that sums recent failures, each fading exponentially with its age, so that
 * an endpoint which only sometimes works is found too. The length of an ejection follows a
 * saturating curve of the earlier ones, which fade likewise.
 *
 * The score and the curve are those of `PAPER-download-retry-backoff-system-a286`, which paces
 * retries by them; that each success lightens the score is ours.
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
