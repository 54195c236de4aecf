import { HealthState } from '@cherryhitch/policy'
import { NoticeState } from '@cherryhitch/protocol'
import type { EndpointCapacity } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { Run } from '../runs/Run'

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
 * expected end of what runs.
 *
 * @param needs - what a task of those that wait wants on average
 * @internal
 */
export function collectPlaces(
  now: number,
  core: DispatchCore,
  service: string,
  needs: EndpointCapacity,
): readonly number[] {
  const places: number[] = []
  core.counters.endpoints_visited += core.endpoints.size
  for (const endpoint of core.endpoints.all()) {
    if (endpoint.service !== service || !isCounted(now, core, endpoint)) continue
    const freeAt = endpoint.isAdopted ? now : now + ADOPTION_MS
    for (let left = placesIn(endpoint, needs); left > 0; left--) places.push(freeAt)
    for (const run of endpoint.runs.values()) places.push(expectedEnd(now, run))
  }
  return places
}

/** One whose silence may be a single lost answer is counted on. */
function isCounted(now: number, core: DispatchCore, endpoint: EndpointRecord): boolean {
  if (endpoint.notice.state !== NoticeState.SERVING || endpoint.isReplaced) return false
  if (endpoint.unanswered > 1) return false
  return core.health.state(now, endpoint.id) === HealthState.Healthy
}

function placesIn(endpoint: EndpointRecord, needs: EndpointCapacity): number {
  const { cpuMillis, memoryMb, gpus } = endpoint.freeRoom()
  const parts = [
    [cpuMillis, needs.cpuMillis],
    [memoryMb, needs.memoryMb],
    [gpus, needs.gpus],
  ] as const
  const counts = parts.flatMap(([free, need]) => (need > 0 ? Math.floor(free / need) : []))
  return Math.max(0, Math.min(MOST_PLACES, ...counts))
}

function expectedEnd(now: number, { confirmedAt, sentAt, expectedMs }: Run): number {
  const endsAt = (confirmedAt ?? sentAt) + expectedMs
  return endsAt > now ? endsAt : now + REST_SHARE * expectedMs
}
