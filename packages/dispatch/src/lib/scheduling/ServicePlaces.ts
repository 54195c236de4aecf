import { HealthState } from '@cherryhitch/policy'
import { NoticeState } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import type { EndpointRecord, FreeRoom } from '../endpoints/EndpointRecord'
import type { Run } from '../runs/Run'
import { Places } from './JobAdmission'

/**
 * What is left of a run that has outlasted its estimate, as a share of the estimate: run times
 * spread by 0.4 (standard deviation of the logarithm), and of those that outlast the mean the rest
 * is a third of it on average.
 */
const REST_SHARE = 0.3
/** An endpoint that a new leader has not heard from yet is counted on after this: two ways. */
const ADOPTION_MS = 30

/**
 * Places of one endpoint that are counted at most: tasks that ask for little or nothing fit without
 * end, and a forecast of more costs time for nothing.
 */
const MOST_PLACES = 64

/**
 * When the places of a service's endpoints become free: at once for room that is free, and at the
 * expected end of what runs. Both are worked out once they are asked for: while there is room for
 * all that waits, which is so in most rounds, only the free places are counted.
 *
 * @internal
 */
export class ServicePlaces extends Places {
  #free: number | undefined
  #all: readonly number[] | undefined

  /** @param needs - what a task of those that wait wants on average */
  constructor(
    private readonly now: number,
    private readonly core: DispatchCore,
    private readonly service: string,
    private readonly needs: Readonly<FreeRoom>,
  ) {
    super()
  }

  override get free(): number {
    this.#free ??= this.#countFree()
    return this.#free
  }

  override all(): readonly number[] {
    this.#all ??= this.#collect()
    return this.#all
  }

  #countFree(): number {
    let free = 0
    this.core.counters.endpoints_visited += this.core.endpoints.size
    for (const endpoint of this.core.endpoints.all()) {
      if (endpoint.isAdopted && this.#isCounted(endpoint)) free += placesIn(endpoint, this.needs)
    }
    return free
  }

  #collect(): readonly number[] {
    const places: number[] = []
    this.core.counters.endpoints_visited += this.core.endpoints.size
    for (const endpoint of this.core.endpoints.all()) {
      if (!this.#isCounted(endpoint)) continue
      const freeAt = endpoint.isAdopted ? this.now : this.now + ADOPTION_MS
      for (let left = placesIn(endpoint, this.needs); left > 0; left--) places.push(freeAt)
      for (const run of endpoint.runs.values()) places.push(expectedEnd(this.now, run))
    }
    return places.sort((a, b) => a - b)
  }

  #isCounted(endpoint: EndpointRecord): boolean {
    return endpoint.service === this.service && isCounted(this.now, this.core, endpoint)
  }
}

/** One whose silence may be a single lost answer is counted on. */
function isCounted(now: number, core: DispatchCore, endpoint: EndpointRecord): boolean {
  if (endpoint.notice.state !== NoticeState.SERVING || endpoint.isReplaced) return false
  if (endpoint.unanswered > 1) return false
  return core.health.state(now, endpoint.id) === HealthState.Healthy
}

function placesIn(endpoint: EndpointRecord, needs: Readonly<FreeRoom>): number {
  const { cpuMillis, memoryMb, gpus } = endpoint.freeRoom()
  let places = MOST_PLACES
  if (needs.cpuMillis > 0) places = Math.min(places, Math.floor(cpuMillis / needs.cpuMillis))
  if (needs.memoryMb > 0) places = Math.min(places, Math.floor(memoryMb / needs.memoryMb))
  if (needs.gpus > 0) places = Math.min(places, Math.floor(gpus / needs.gpus))
  return Math.max(0, places)
}

function expectedEnd(now: number, { confirmedAt, sentAt, expectedMs }: Run): number {
  const endsAt = (confirmedAt ?? sentAt) + expectedMs
  return endsAt > now ? endsAt : now + REST_SHARE * expectedMs
}
