import { CrashBlame, TaskStanding } from './CrashBlame'
import type { LossUnderTask } from './CrashBlame'

/** @public */
export interface CountedCrashBlameOptions {
  /** Endpoints that have to crash under a task, each by itself, before it counts as the cause. */
  readonly culpritCrashes: number
  /** Endpoints that may be lost under a task before it waits for what became of them. */
  readonly heldLosses: number
  /** The same, whatever the others seem to have been lost for. */
  readonly mostLosses: number
}

/** @public */
export const defaultCountedCrashBlameOptions: CountedCrashBlameOptions = {
  culpritCrashes: 2,
  heldLosses: 2,
  mostLosses: 3,
}

/**
 * Counts the endpoints that were lost under a task alone: one may be chance, a second one is not,
 * since a suspect shares its endpoint with no other. What may have been lost under it makes it a
 * suspect, and is no proof.
 *
 * It answers requests that would take down one endpoint after the other.
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
    if (crashes.length >= this.#options.culpritCrashes) return TaskStanding.Culprit
    const allCrashes = alone.filter(({ isCrash }) => isCrash)
    if (allCrashes.length >= this.#options.mostLosses) return TaskStanding.Culprit
    if (own.length >= this.#options.heldLosses) return TaskStanding.Held
    if (losses.length >= this.#options.mostLosses) return TaskStanding.Held
    return alone.length > 0 ? TaskStanding.Suspect : TaskStanding.Clear
  }
}
