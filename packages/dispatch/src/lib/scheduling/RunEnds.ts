import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { Run } from '../runs/Run'
import { addFreeSlots } from './SlotForecast'
import type { SlotClassCounts } from './SlotClassCounts'
import { speedClassOf } from './speedClasses'

/**
 * Expected remaining time of a run that has exceeded its estimate, as a share of the estimate. Run
 * times vary: a run that exceeds the mean takes a third of the mean longer on average.
 */
const OVERRUN_REMAINDER_SHARE = 0.3

/** A run with its expected end. */
interface TimedRun {
  readonly endsAt: number
  /** Expected remaining time once the run has exceeded its estimate. */
  readonly overrunRemainderMs: number
  readonly slowness: number
  /** Index in the list of all runs. */
  index: number
}

/**
 * The runs at a service's endpoints, with the expected time at which each frees its slot.
 *
 * @internal
 */
export class RunEnds {
  readonly #runs: TimedRun[] = []
  readonly #byEndpoint = new Map<EndpointRecord, readonly TimedRun[]>()

  get size(): number {
    return this.#runs.length
  }

  /** Replaces the runs recorded for an endpoint by its current ones. */
  set(endpoint: EndpointRecord, slowness = 1): void {
    this.delete(endpoint)
    if (endpoint.runs.size === 0) return
    const timed = Array.from(endpoint.runs.values(), (run) => this.#add(run, slowness))
    this.#byEndpoint.set(endpoint, timed)
  }

  delete(endpoint: EndpointRecord): void {
    const timed = this.#byEndpoint.get(endpoint)
    if (timed === undefined) return
    this.#byEndpoint.delete(endpoint)
    for (const run of timed) this.#remove(run)
  }

  /** Adds each run's slot at the millisecond in which it is expected to become free. */
  addFreeSlotsTo(freeByMs: Int32Array, now: number): void {
    for (const { endsAt, overrunRemainderMs } of this.#runs) {
      addFreeSlots(freeByMs, endsAt > now ? endsAt - now : overrunRemainderMs, 1)
    }
  }

  /** Like `addFreeSlotsTo`, by the speed classes of the endpoints. */
  addFreeSlotsByClass(freeByClass: readonly SlotClassCounts[], now: number): void {
    for (const { endsAt, overrunRemainderMs, slowness } of this.#runs) {
      const afterMs = endsAt > now ? endsAt - now : overrunRemainderMs
      freeByClass[speedClassOf(slowness)]?.add(afterMs, 1, slowness)
    }
  }

  #add({ confirmedAt, sentAt, expectedMs }: Run, slowness: number): TimedRun {
    const endsAt = (confirmedAt ?? sentAt) + expectedMs
    const timed = {
      endsAt,
      overrunRemainderMs: OVERRUN_REMAINDER_SHARE * expectedMs,
      slowness,
      index: this.#runs.length,
    }
    this.#runs.push(timed)
    return timed
  }

  #remove({ index }: TimedRun): void {
    const last = this.#runs.pop()
    if (last === undefined || last.index === index) return
    last.index = index
    this.#runs[index] = last
  }
}
