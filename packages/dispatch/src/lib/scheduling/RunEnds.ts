import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { Run } from '../runs/Run'
import { addFreePlace } from './PlaceForecast'

/**
 * What is left of a run that has outlasted its estimate, as a share of the estimate: run times
 * spread, and of those that outlast the mean the rest is a third of it on average.
 */
const REST_SHARE = 0.3

/** When a run is expected to end. */
interface TimedRun {
  readonly endsAt: number
  /** Milliseconds left of it once it has outlasted its estimate. */
  readonly restMs: number
  /** Its place in the list of all. */
  index: number
}

/** The runs at a service's endpoints, and when each will leave its place. @internal */
export class RunEnds {
  readonly #runs: TimedRun[] = []
  readonly #byEndpoint = new Map<EndpointRecord, readonly TimedRun[]>()

  get size(): number {
    return this.#runs.length
  }

  /** Takes in what runs at an endpoint now. */
  set(endpoint: EndpointRecord): void {
    this.delete(endpoint)
    if (endpoint.runs.size === 0) return
    const timed = Array.from(endpoint.runs.values(), (run) => this.#add(run))
    this.#byEndpoint.set(endpoint, timed)
  }

  delete(endpoint: EndpointRecord): void {
    const timed = this.#byEndpoint.get(endpoint)
    if (timed === undefined) return
    this.#byEndpoint.delete(endpoint)
    for (const run of timed) this.#remove(run)
  }

  /** Counts each place at the millisecond in which it becomes free. */
  addTo(freeByMs: Int32Array, now: number): void {
    for (const { endsAt, restMs } of this.#runs) {
      addFreePlace(freeByMs, endsAt > now ? endsAt - now : restMs, 1)
    }
  }

  #add({ confirmedAt, sentAt, expectedMs }: Run): TimedRun {
    const endsAt = (confirmedAt ?? sentAt) + expectedMs
    const timed = { endsAt, restMs: REST_SHARE * expectedMs, index: this.#runs.length }
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
