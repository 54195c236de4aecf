import { CrashAttribution, CrashSuspicion } from './CrashAttribution'
import type { EndpointLoss } from './CrashAttribution'

/** @public */
export interface CountedCrashAttributionOptions {
  /** Confirmed crashes, none shared with other endpoints, after which a task is the culprit. */
  readonly culpritCrashThreshold: number
  /** Confirmed losses, not shared with other endpoints, after which a task is held. */
  readonly heldLossThreshold: number
  /**
   * Threshold that also counts uncertain evidence: a task is the culprit after this many unshared
   * crashes, possible ones included, and held after this many losses of any kind.
   */
  readonly totalLossThreshold: number
}

/** @public */
export const defaultCountedCrashAttributionOptions: CountedCrashAttributionOptions = {
  culpritCrashThreshold: 2,
  heldLossThreshold: 2,
  totalLossThreshold: 3,
}

/**
 * Counts the endpoints lost while a task ran on them, leaving aside losses shared with many other
 * endpoints. A first loss may be a coincidence. A second one is not, because a suspect task never
 * shares its endpoint with another task. A possible loss makes a task a suspect but proves nothing.
 *
 * Protects against a task that would crash one endpoint after another.
 *
 * @public
 */
export class CountedCrashAttribution extends CrashAttribution {
  readonly #options: CountedCrashAttributionOptions

  constructor(options: Partial<CountedCrashAttributionOptions> = {}) {
    super()
    this.#options = { ...defaultCountedCrashAttributionOptions, ...options }
  }

  override suspicionOf(losses: readonly EndpointLoss[]): CrashSuspicion {
    const alone = losses.filter(({ isShared }) => !isShared)
    const own = alone.filter(({ isPossible }) => !isPossible)
    const crashes = own.filter(({ isCrash }) => isCrash)
    if (crashes.length >= this.#options.culpritCrashThreshold) return CrashSuspicion.Culprit
    const allCrashes = alone.filter(({ isCrash }) => isCrash)
    if (allCrashes.length >= this.#options.totalLossThreshold) return CrashSuspicion.Culprit
    if (own.length >= this.#options.heldLossThreshold) return CrashSuspicion.Held
    if (losses.length >= this.#options.totalLossThreshold) return CrashSuspicion.Held
    return alone.length > 0 ? CrashSuspicion.Suspect : CrashSuspicion.Clear
  }
}
