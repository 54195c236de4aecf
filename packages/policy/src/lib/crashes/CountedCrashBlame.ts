import { CrashBlame, TaskStanding } from './CrashBlame'
import type { LossUnderTask } from './CrashBlame'

/** @public */
export interface CountedCrashBlameOptions {
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
export const defaultCountedCrashBlameOptions: CountedCrashBlameOptions = {
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
export class CountedCrashBlame extends CrashBlame {
  readonly #options: CountedCrashBlameOptions

  constructor(options: Partial<CountedCrashBlameOptions> = {}) {
    super()
    this.#options = { ...defaultCountedCrashBlameOptions, ...options }
  }

  override standing(losses: readonly LossUnderTask[]): TaskStanding {
    const alone = losses.filter(({ isShared }) => !isShared)
    const own = alone.filter(({ isPossible }) => !isPossible)
    const crashes = own.filter(({ isCrash }) => isCrash)
    if (crashes.length >= this.#options.culpritCrashThreshold) return TaskStanding.Culprit
    const allCrashes = alone.filter(({ isCrash }) => isCrash)
    if (allCrashes.length >= this.#options.totalLossThreshold) return TaskStanding.Culprit
    if (own.length >= this.#options.heldLossThreshold) return TaskStanding.Held
    if (losses.length >= this.#options.totalLossThreshold) return TaskStanding.Held
    return alone.length > 0 ? TaskStanding.Suspect : TaskStanding.Clear
  }
}
