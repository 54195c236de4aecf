import { HealthState } from '@cherryhitch/policy'
import type { EndpointCapacity } from '@cherryhitch/protocol'
import type { EndpointRecord, FreeRoom } from '../endpoints/EndpointRecord'
import type { Task } from '../jobs/Job'

/** What decides between endpoints where a task fits. @internal */
export interface OpenEndpoint {
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
 * Places of one endpoint that are counted at most: tasks that ask for little or nothing fit without
 * end, and a forecast of more costs time for nothing.
 */
const MOST_PLACES = 64
const FIRST_ROWS = 64

/**
 * The endpoints of a service that may get tasks now, and their free room as columns of numbers: a
 * pick goes through them without touching an object, and an endpoint is written anew when it changes.
 *
 * @internal
 */
export class OpenEndpoints {
  readonly #rows: OpenEndpoint[] = []
  readonly #rowOf = new Map<EndpointRecord, number>()
  #cpuMillis = new Float64Array(FIRST_ROWS)
  #memoryMb = new Float64Array(FIRST_ROWS)
  #gpus = new Float64Array(FIRST_ROWS)
  #totalCpuMillis = new Float64Array(FIRST_ROWS)
  #slowness = new Float64Array(FIRST_ROWS)

  get size(): number {
    return this.#rows.length
  }

  /** Adds an endpoint, or writes anew what was known of it. */
  set(open: OpenEndpoint): void {
    const { endpoint } = open
    const known = this.#rowOf.get(endpoint)
    const row = known ?? this.#rows.length
    if (known === undefined) this.#rowOf.set(endpoint, row)
    if (row >= this.#cpuMillis.length) this.#grow()
    this.#rows[row] = open
    const { cpuMillis, memoryMb, gpus } = endpoint.freeRoom()
    this.#cpuMillis[row] = cpuMillis
    this.#memoryMb[row] = memoryMb
    this.#gpus[row] = gpus
    this.#totalCpuMillis[row] = Math.max(1, endpoint.notice.capacity?.cpuMillis ?? 1)
    this.#slowness[row] = open.slowness
  }

  /** The last row takes the place of the one that goes. */
  delete(endpoint: EndpointRecord): void {
    const row = this.#rowOf.get(endpoint)
    if (row === undefined) return
    this.#rowOf.delete(endpoint)
    const last = this.#rows.pop()
    if (last === undefined || last.endpoint === endpoint) return
    this.#rowOf.set(last.endpoint, row)
    this.set(last)
  }

  /** The largest free room of one endpoint, in thousandths of a core; 0 when there is none. */
  get mostCpuMillis(): number {
    let most = 0
    for (let row = 0; row < this.#rows.length; row++)
      most = Math.max(most, this.#cpuMillis[row] ?? 0)
    return most
  }

  /** Tasks of such needs that can start now; counting ends once it is known to be enough. */
  countPlaces(needs: Readonly<FreeRoom>, enough: number): number {
    let places = 0
    for (let row = 0; row < this.#rows.length && places < enough; row++) {
      if (this.#rows[row]?.health === HealthState.Healthy) places += this.#placesAt(row, needs)
    }
    return places
  }

  /** Where a task would end first among those where it fits; undefined when it fits nowhere. */
  pick(task: Task, needs: EndpointCapacity, prefersCloseFit: boolean): OpenEndpoint | undefined {
    const fitWeight = prefersCloseFit ? FIT_WEIGHT : 0
    if (!isPlain(task)) return this.#pickCarefully(task, needs, fitWeight)
    const picked = this.#rows[this.#cheapestRow(needs, fitWeight)]
    // A run of it that is not over there: no second one under the same name.
    const isTaken = picked?.endpoint.runs.has(task.name) === true
    return isTaken ? this.#pickCarefully(task, needs, fitWeight) : picked
  }

  /** Row of the endpoint with the least cost; -1 when it fits nowhere. */
  #cheapestRow(needs: EndpointCapacity, fitWeight: number): number {
    let best = -1
    let bestCost = Infinity
    for (let row = 0; row < this.#rows.length; row++) {
      if (!this.#fits(row, needs)) continue
      const cost = this.#costAt(row, needs.cpuMillis, fitWeight)
      if (cost >= bestCost) continue
      best = row
      bestCost = cost
    }
    return best
  }

  #pickCarefully(task: Task, needs: EndpointCapacity, fitWeight: number): OpenEndpoint | undefined {
    let best: OpenEndpoint | undefined
    let bestCost = Infinity
    for (const [row, open] of this.#rows.entries()) {
      if (!this.#fits(row, needs) || !isAllowed(task, open)) continue
      const cost = this.#costAt(row, needs.cpuMillis, fitWeight) * penaltyOf(task, open)
      if (cost >= bestCost) continue
      best = open
      bestCost = cost
    }
    return best
  }

  #costAt(row: number, cpuMillis: number, fitWeight: number): number {
    const left = (this.#cpuMillis[row] ?? 0) - cpuMillis
    const leftShare = left / (this.#totalCpuMillis[row] ?? 1)
    return (this.#slowness[row] ?? 1) * (1 + fitWeight * leftShare)
  }

  #fits(row: number, { cpuMillis, memoryMb, gpus }: EndpointCapacity): boolean {
    if ((this.#cpuMillis[row] ?? 0) < cpuMillis) return false
    return (this.#memoryMb[row] ?? 0) >= memoryMb && (this.#gpus[row] ?? 0) >= gpus
  }

  #placesAt(row: number, needs: Readonly<FreeRoom>): number {
    return placesIn(
      this.#cpuMillis[row] ?? 0,
      this.#memoryMb[row] ?? 0,
      this.#gpus[row] ?? 0,
      needs,
    )
  }

  #grow(): void {
    this.#cpuMillis = doubled(this.#cpuMillis)
    this.#memoryMb = doubled(this.#memoryMb)
    this.#gpus = doubled(this.#gpus)
    this.#totalCpuMillis = doubled(this.#totalCpuMillis)
    this.#slowness = doubled(this.#slowness)
  }
}

/** Tasks of such needs that fit into free room. @internal */
export function placesIn(
  cpuMillis: number,
  memoryMb: number,
  gpus: number,
  needs: Readonly<FreeRoom>,
): number {
  let places = MOST_PLACES
  if (needs.cpuMillis > 0) places = Math.min(places, Math.floor(cpuMillis / needs.cpuMillis))
  if (needs.memoryMb > 0) places = Math.min(places, Math.floor(memoryMb / needs.memoryMb))
  if (needs.gpus > 0) places = Math.min(places, Math.floor(gpus / needs.gpus))
  return Math.max(0, places)
}

/** Whether nothing but its needs and the endpoint's speed decides where a task goes. */
function isPlain(task: Task): boolean {
  if (task.avoid.size > 0 || task.failures > 0 || task.isSuspect) return false
  const { requiredLabel, maxPerEndpoint, dataRack } = task.job.step(task)
  return requiredLabel === '' && maxPerEndpoint === 0 && dataRack === ''
}

function isAllowed(task: Task, { endpoint, health }: OpenEndpoint): boolean {
  if (endpoint.runs.has(task.name)) return false
  // Its few tasks are a trial; a task that has failed before needs a better chance.
  if (health === HealthState.Probation && task.failures > 0) return false
  const { requiredLabel, maxPerEndpoint } = task.job.step(task)
  if (requiredLabel !== '' && !endpoint.notice.labels.includes(requiredLabel)) return false
  return maxPerEndpoint === 0 || countOfStep(task, endpoint) < maxPerEndpoint
}

function countOfStep(task: Task, endpoint: EndpointRecord): number {
  const prefix = task.name.slice(0, task.name.lastIndexOf('.') + 1)
  return [...endpoint.runs.keys()].filter((name) => name.startsWith(prefix)).length
}

function penaltyOf(task: Task, { endpoint }: OpenEndpoint): number {
  const { dataRack } = task.job.step(task)
  const isRemote = dataRack !== '' && !endpoint.notice.labels.includes(dataRack)
  const avoided = task.avoid.has(endpoint.id) ? REMOTE_PENALTY : 1
  // What may take its endpoint down takes as little else with it as possible.
  const company = task.isSuspect ? 1 + endpoint.runs.size : 1
  return (isRemote ? REMOTE_PENALTY : 1) * avoided * company
}

function doubled(column: Float64Array): Float64Array<ArrayBuffer> {
  const larger = new Float64Array(2 * column.length)
  larger.set(column)
  return larger
}
