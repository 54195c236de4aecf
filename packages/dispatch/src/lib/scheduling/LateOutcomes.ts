import { DecayedSum } from '@cherryhitch/policy'
import { JobVerdict } from '@cherryhitch/protocol'

/** Age at which an outcome has decayed to 1/e, in milliseconds: bursts of load last seconds. */
const TAU_MS = 2_000
/** Served jobs that are assumed before any outcome is known. */
const ASSUMED_SERVED = 2

/** Decayed numbers of the late jobs of one service. */
interface ServiceOutcomes {
  readonly served: DecayedSum
  readonly givenUp: DecayedSum
}

/**
 * What became of the jobs that were admitted for late service, by service. The forecast doesn't
 * know of the jobs that arrive later and go first; the outcomes show how many slots those leave.
 *
 * @internal
 */
export class LateOutcomes {
  readonly #byService = new Map<string, ServiceOutcomes>()

  /** Notes the end of a late job. A cancelled one doesn't show whether it would have got slots. */
  note(now: number, service: string, verdict: JobVerdict): void {
    if (verdict === JobVerdict.CANCELLED) return
    const { served, givenUp } = this.#outcomesOf(service)
    if (wasServed(verdict)) served.add(now, 1)
    else givenUp.add(now, 1)
  }

  /** Share of a service's jobs that were served, 0 to 1. */
  servedShare(now: number, service: string): number {
    const outcomes = this.#byService.get(service)
    if (outcomes === undefined) return 1
    const served = outcomes.served.read(now) + ASSUMED_SERVED
    return served / (served + outcomes.givenUp.read(now))
  }

  #outcomesOf(service: string): ServiceOutcomes {
    const known = this.#byService.get(service)
    if (known !== undefined) return known
    const outcomes = { served: new DecayedSum(TAU_MS), givenUp: new DecayedSum(TAU_MS) }
    this.#byService.set(service, outcomes)
    return outcomes
  }
}

/** A failed job got its slots as well: its tasks ran. */
function wasServed(verdict: JobVerdict): boolean {
  return verdict === JobVerdict.COMPLETED || verdict === JobVerdict.FAILED
}
