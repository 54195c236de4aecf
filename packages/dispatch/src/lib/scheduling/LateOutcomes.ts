import { DecayedSum } from '@cherryhitch/policy'

/** Age at which an outcome has decayed to 1/e, in milliseconds: bursts of load last seconds. */
const TAU_MS = 2_000
/** Served jobs that are assumed before any outcome is known. */
const ASSUMED_SERVED = 2

/**
 * What became of the jobs that were admitted for late service. The forecast doesn't know of the
 * jobs that arrive later and go first; the outcomes show how many slots those leave.
 *
 * @internal
 */
export class LateOutcomes {
  readonly #served = new DecayedSum(TAU_MS)
  readonly #givenUp = new DecayedSum(TAU_MS)

  note(now: number, wasServed: boolean): void {
    if (wasServed) this.#served.add(now, 1)
    else this.#givenUp.add(now, 1)
  }

  /** Share of the jobs that were served, 0 to 1. */
  servedShare(now: number): number {
    const served = this.#served.read(now) + ASSUMED_SERVED
    return served / (served + this.#givenUp.read(now))
  }
}
