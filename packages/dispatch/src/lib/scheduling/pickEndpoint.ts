import { HealthState } from '@cherryhitch/policy'
import type { EndpointCapacity } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import { fits } from '../endpoints/EndpointRecord'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { Task } from '../jobs/Job'

/** An endpoint that may get tasks in this round of placing. @internal */
export interface Candidate {
  readonly endpoint: EndpointRecord
  /** Run times here over those of the same work at its peers. */
  readonly slowness: number
  readonly health: HealthState
}

/** Penalty of an endpoint in another rack than the task's data, as a factor on its run time. */
const REMOTE_PENALTY = 2
/**
 * A run time that is this share longer is accepted for a closer fit: it keeps room together for
 * tasks that need much, and differs less than measured slowness does from run to run.
 */
const FIT_WEIGHT = 0.1

/**
 * The endpoints of a service that may get tasks now.
 *
 * @param leastCpu - what a task wants at least, in thousandths of a core: where not even that is
 *   free, which is so at most endpoints when much waits, nothing else is looked at
 * @internal
 */
export function collectCandidates(
  now: number,
  core: DispatchCore,
  service: string,
  leastCpu: number,
): readonly Candidate[] {
  const candidates: Candidate[] = []
  core.counters.endpoints_visited += core.endpoints.size
  for (const endpoint of core.endpoints.all()) {
    const { cpuMillis } = endpoint.freeRoom()
    if (cpuMillis <= 0 || cpuMillis < leastCpu || endpoint.service !== service) continue
    // The next leader has to know of it: whoever it asks, a majority was told before this.
    if (!endpoint.mayStart(now) || core.confirmedAt < endpoint.spreadAt) continue
    const health = core.health.state(now, endpoint.id)
    if (health === HealthState.Ejected) continue
    if (health === HealthState.Probation && endpoint.runs.size > 0) continue
    candidates.push({ endpoint, slowness: core.slownessOf(now, endpoint), health })
  }
  return candidates
}

/** Where a task would end first among those where it fits; undefined when it fits nowhere. @internal */
export function pickEndpoint(
  task: Task,
  needs: EndpointCapacity,
  candidates: readonly Candidate[],
  prefersCloseFit = true,
): Candidate | undefined {
  let best: Candidate | undefined
  let bestCost = Infinity
  for (const candidate of candidates) {
    if (!isAllowed(task, needs, candidate)) continue
    const cost = costOf(task, needs, candidate, prefersCloseFit ? FIT_WEIGHT : 0)
    if (cost >= bestCost) continue
    best = candidate
    bestCost = cost
  }
  return best
}

function isAllowed(task: Task, needs: EndpointCapacity, { endpoint, health }: Candidate): boolean {
  if (!fits(endpoint.freeRoom(), needs) || endpoint.runs.has(task.name)) return false
  // Its few tasks are a trial; a task that has failed before needs a better chance.
  if (health === HealthState.Probation && (endpoint.runs.size > 0 || task.failures > 0))
    return false
  const { requiredLabel, maxPerEndpoint } = task.job.step(task)
  if (requiredLabel !== '' && !endpoint.notice.labels.includes(requiredLabel)) return false
  return maxPerEndpoint === 0 || countOfStep(task, endpoint) < maxPerEndpoint
}

function countOfStep(task: Task, endpoint: EndpointRecord): number {
  const prefix = task.name.slice(0, task.name.lastIndexOf('.') + 1)
  return [...endpoint.runs.keys()].filter((name) => name.startsWith(prefix)).length
}

function costOf(
  task: Task,
  needs: EndpointCapacity,
  { endpoint, slowness }: Candidate,
  fitWeight: number,
): number {
  const { dataRack } = task.job.step(task)
  const isRemote = dataRack !== '' && !endpoint.notice.labels.includes(dataRack)
  const avoided = task.avoid.has(endpoint.id) ? REMOTE_PENALTY : 1
  const total = endpoint.notice.capacity?.cpuMillis ?? 1
  const leftShare = (endpoint.freeRoom().cpuMillis - needs.cpuMillis) / Math.max(1, total)
  return slowness * (isRemote ? REMOTE_PENALTY : 1) * avoided * (1 + fitWeight * leftShare)
}
