import { HealthState } from '@cherryhitch/policy'
import type { EndpointCapacity } from '@cherryhitch/protocol'
import type { EndpointRecord, FreeCapacity } from '../endpoints/EndpointRecord'
import type { Task } from '../jobs/Job'
import { isUnconstrained } from './isUnconstrained'
import type { SpeedNeed } from './SpeedNeed'

/**
 * An endpoint that can receive tasks, with the values by which endpoints are compared.
 *
 * @internal
 */
export interface AvailableEndpoint {
  readonly endpoint: EndpointRecord
  /** Ratio of run times at this endpoint to those of the same work at its peers. */
  readonly slowness: number
  readonly health: HealthState
}

/**
 * Cost factor for an endpoint in another rack than the task's data, and for one that the task
 * should avoid.
 */
const REMOTE_PENALTY = 2
/**
 * Run times longer by up to this share are accepted for a closer fit, which avoids fragmenting the
 * free capacity that large tasks need. The share is smaller than the variation of measured slowness
 * from run to run.
 */
const FIT_WEIGHT = 0.1
/**
 * Upper bound on the slots counted for one endpoint. Tasks with tiny or zero needs would give an
 * unlimited number, and counting more slots makes a forecast slower without making it better.
 */
const MAX_SLOTS_PER_ENDPOINT = 64
const INITIAL_ROWS = 64
/**
 * Cost offsets of the endpoints at which a task would end in time without a reserve, and of those
 * at which it would be late, each above any cost of the others.
 */
const TIGHT_COST = 1_000
const LATE_COST = 2_000

/**
 * The endpoints of a service that can receive tasks now. Their free capacity is stored in columns
 * of numbers, so that selecting an endpoint scans arrays without reading objects. An endpoint's row
 * is rewritten when the endpoint changes.
 *
 * @internal
 */
export class AvailableEndpoints {
  readonly #rows: AvailableEndpoint[] = []
  readonly #rowOf = new Map<EndpointRecord, number>()
  #cpuMillis = new Float64Array(INITIAL_ROWS)
  #memoryMb = new Float64Array(INITIAL_ROWS)
  #gpus = new Float64Array(INITIAL_ROWS)
  #totalCpuMillis = new Float64Array(INITIAL_ROWS)
  #slowness = new Float64Array(INITIAL_ROWS)

  /** Undefined, to be recomputed, once an endpoint has changed. */
  #maxFreeCpuMillis: number | undefined

  get size(): number {
    return this.#rows.length
  }

  /** Adds an endpoint, or updates its row. */
  set(entry: AvailableEndpoint): void {
    const { endpoint } = entry
    this.#maxFreeCpuMillis = undefined
    const known = this.#rowOf.get(endpoint)
    const row = known ?? this.#rows.length
    if (known === undefined) this.#rowOf.set(endpoint, row)
    if (row >= this.#cpuMillis.length) this.#grow()
    this.#rows[row] = entry
    const { cpuMillis, memoryMb, gpus } = endpoint.freeCapacity()
    this.#cpuMillis[row] = cpuMillis
    this.#memoryMb[row] = memoryMb
    this.#gpus[row] = gpus
    this.#totalCpuMillis[row] = Math.max(1, endpoint.notice.capacity?.cpuMillis ?? 1)
    this.#slowness[row] = entry.slowness
  }

  /** Removes an endpoint; the last row is moved to the freed index. */
  delete(endpoint: EndpointRecord): void {
    const row = this.#rowOf.get(endpoint)
    if (row === undefined) return
    this.#rowOf.delete(endpoint)
    this.#maxFreeCpuMillis = undefined
    const last = this.#rows.pop()
    if (last === undefined || last.endpoint === endpoint) return
    this.#rowOf.set(last.endpoint, row)
    this.set(last)
  }

  /** Largest free CPU of any endpoint, in thousandths of a core; 0 when there is no endpoint. */
  get maxFreeCpuMillis(): number {
    this.#maxFreeCpuMillis ??= this.#computeMaxFreeCpu()
    return this.#maxFreeCpuMillis
  }

  #computeMaxFreeCpu(): number {
    let most = 0
    for (let row = 0; row < this.#rows.length; row++)
      most = Math.max(most, this.#cpuMillis[row] ?? 0)
    return most
  }

  /** Free CPU of all healthy endpoints, in thousandths of a core. */
  freeCpuMillis(): number {
    let free = 0
    for (let row = 0; row < this.#rows.length; row++) {
      if (this.#rows[row]?.health === HealthState.Healthy) free += this.#cpuMillis[row] ?? 0
    }
    return free
  }

  /**
   * Number of tasks with these needs that can start now; counting stops once `enough` is reached.
   */
  countFreeSlots(needs: Readonly<FreeCapacity>, enough: number): number {
    let slots = 0
    for (let row = 0; row < this.#rows.length && slots < enough; row++) {
      if (this.#rows[row]?.health === HealthState.Healthy) slots += this.#countSlotsAt(row, needs)
    }
    return slots
  }

  /** Calls back with the free slots of each healthy endpoint for tasks with these needs. */
  visitFreeSlots(
    needs: Readonly<FreeCapacity>,
    visit: (slowness: number, slots: number) => void,
  ): void {
    for (const [row, { health }] of this.#rows.entries()) {
      if (health !== HealthState.Healthy) continue
      visit(this.#slowness[row] ?? 1, this.#countSlotsAt(row, needs))
    }
  }

  /** Updates the slowness of all endpoints, which can change without any of them changing. */
  refreshSlowness(read: (endpoint: EndpointRecord) => number): void {
    for (const [row, entry] of this.#rows.entries()) {
      const slowness = read(entry.endpoint)
      this.#slowness[row] = slowness
      this.#rows[row] = { ...entry, slowness }
    }
  }

  /**
   * The endpoint with the least cost among those where a task fits; undefined when there is none.
   *
   * @param need - set where endpoints differ much in speed: faster ones are left to tasks that need
   *   them
   */
  pick(
    task: Task,
    needs: EndpointCapacity,
    prefersCloseFit: boolean,
    need?: SpeedNeed,
  ): AvailableEndpoint | undefined {
    const fitWeight = prefersCloseFit ? FIT_WEIGHT : 0
    if (!isUnconstrained(task)) return this.#pickConstrained(task, needs, fitWeight, need)
    const picked = this.#rows[this.#cheapestRow(needs, fitWeight, need)]
    // An earlier run of the task is still active there, and names of runs are unique at an
    // endpoint.
    const isTaken = picked?.endpoint.runs.has(task.name) === true
    return isTaken ? this.#pickConstrained(task, needs, fitWeight, need) : picked
  }

  /** Row of the endpoint with the least cost; -1 when the needs fit nowhere. */
  #cheapestRow(needs: EndpointCapacity, fitWeight: number, need: SpeedNeed | undefined): number {
    let best = -1
    let bestCost = Infinity
    for (let row = 0; row < this.#rows.length; row++) {
      if (!this.#fits(row, needs)) continue
      const cost = this.#costAt(row, needs.cpuMillis, fitWeight, need)
      if (cost >= bestCost) continue
      best = row
      bestCost = cost
    }
    return best
  }

  /** Like `#cheapestRow`, with the task's constraints and penalties taken into account. */
  #pickConstrained(
    task: Task,
    needs: EndpointCapacity,
    fitWeight: number,
    need: SpeedNeed | undefined,
  ): AvailableEndpoint | undefined {
    let best: AvailableEndpoint | undefined
    let bestCost = Infinity
    for (const [row, entry] of this.#rows.entries()) {
      if (!this.#fits(row, needs) || !isAllowed(task, entry)) continue
      const penalty = penaltyOf(task, entry)
      const cost = this.#costAt(row, needs.cpuMillis, fitWeight, need, penalty)
      if (cost >= bestCost) continue
      best = entry
      bestCost = cost
    }
    return best
  }

  #costAt(
    row: number,
    cpuMillis: number,
    fitWeight: number,
    need: SpeedNeed | undefined,
    penalty = 1,
  ): number {
    const left = (this.#cpuMillis[row] ?? 0) - cpuMillis
    const leftShare = left / (this.#totalCpuMillis[row] ?? 1)
    const slowness = this.#slowness[row] ?? 1
    const fit = (1 + fitWeight * leftShare) * penalty
    if (need === undefined) return slowness * fit
    if (slowness > need.maxSlowness) return LATE_COST + slowness * fit
    if (slowness > need.easySlowness) return TIGHT_COST + slowness * fit
    return fit / slowness
  }

  #fits(row: number, { cpuMillis, memoryMb, gpus }: EndpointCapacity): boolean {
    if ((this.#cpuMillis[row] ?? 0) < cpuMillis) return false
    return (this.#memoryMb[row] ?? 0) >= memoryMb && (this.#gpus[row] ?? 0) >= gpus
  }

  #countSlotsAt(row: number, needs: Readonly<FreeCapacity>): number {
    return countSlots(
      this.#cpuMillis[row] ?? 0,
      this.#memoryMb[row] ?? 0,
      this.#gpus[row] ?? 0,
      needs,
    )
  }

  #grow(): void {
    this.#cpuMillis = doubleLength(this.#cpuMillis)
    this.#memoryMb = doubleLength(this.#memoryMb)
    this.#gpus = doubleLength(this.#gpus)
    this.#totalCpuMillis = doubleLength(this.#totalCpuMillis)
    this.#slowness = doubleLength(this.#slowness)
  }
}

/** Number of tasks with these needs that fit into the given free capacity. @internal */
export function countSlots(
  cpuMillis: number,
  memoryMb: number,
  gpus: number,
  needs: Readonly<FreeCapacity>,
): number {
  let slots = MAX_SLOTS_PER_ENDPOINT
  if (needs.cpuMillis > 0) slots = Math.min(slots, Math.floor(cpuMillis / needs.cpuMillis))
  if (needs.memoryMb > 0) slots = Math.min(slots, Math.floor(memoryMb / needs.memoryMb))
  if (needs.gpus > 0) slots = Math.min(slots, Math.floor(gpus / needs.gpus))
  return Math.max(0, slots)
}

function isAllowed(task: Task, { endpoint, health }: AvailableEndpoint): boolean {
  if (endpoint.runs.has(task.name)) return false
  // An endpoint on probation may fail again; a task that has failed before needs a reliable one.
  if (health === HealthState.Probation && task.failures > 0) return false
  const { requiredLabel, maxPerEndpoint } = task.job.step(task)
  if (requiredLabel !== '' && !endpoint.notice.labels.includes(requiredLabel)) return false
  return maxPerEndpoint === 0 || countOfStep(task, endpoint) < maxPerEndpoint
}

function countOfStep(task: Task, endpoint: EndpointRecord): number {
  const prefix = task.name.slice(0, task.name.lastIndexOf('.') + 1)
  return [...endpoint.runs.keys()].filter((name) => name.startsWith(prefix)).length
}

function penaltyOf(task: Task, { endpoint }: AvailableEndpoint): number {
  const { dataRack } = task.job.step(task)
  const isRemote = dataRack !== '' && !endpoint.notice.labels.includes(dataRack)
  const avoidancePenalty = task.avoidedEndpoints.has(endpoint.id) ? REMOTE_PENALTY : 1
  // A task suspected of crashing endpoints goes where the fewest other runs would be lost with it.
  const colocationPenalty = task.isSuspect ? 1 + endpoint.runs.size : 1
  return (isRemote ? REMOTE_PENALTY : 1) * avoidancePenalty * colocationPenalty
}

function doubleLength(column: Float64Array): Float64Array<ArrayBuffer> {
  const larger = new Float64Array(2 * column.length)
  larger.set(column)
  return larger
}
