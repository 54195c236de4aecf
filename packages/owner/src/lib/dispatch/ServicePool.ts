import type { TaskQueue } from '@cherryhitch/policy'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { OwnerTiming } from '../OwnerOptions'
import type { TaskRecord } from '../tasks/TaskRecord'
import { RelativeRunTimes } from './RelativeRunTimes'

/** Weight of the latest run time in the moving average. */
const EWMA_WEIGHT = 0.05

/** The task queue of one service, and its endpoints that are owned here. @internal */
export class ServicePool {
  readonly endpoints = new Set<EndpointRecord>()
  /** Endpoints with a free slot, in no particular order; dispatch scans only these. */
  readonly openEndpoints: EndpointRecord[] = []
  readonly runTimes = new RelativeRunTimes()
  /** Index in `openEndpoints` at which the latest scan started. */
  cursor = 0
  /** Number of tasks that are known not to have run and wait for their retry delay to pass. */
  delayedTasks = 0
  private slotTotal = 0
  meanRunMs = 0

  constructor(
    readonly service: string,
    public queue: TaskQueue<TaskRecord>,
  ) {}

  get isEmpty(): boolean {
    return this.endpoints.size === 0 && this.queue.size === 0 && this.delayedTasks === 0
  }

  /** Slots of all endpoints that are not leaving, as of the latest `countSlots`. */
  get slots(): number {
    return this.slotTotal
  }

  countSlots(): void {
    this.slotTotal = 0
    for (const record of this.endpoints) this.slotTotal += record.leaving ? 0 : record.slots
  }

  /** Whether each endpoint is leaving or timed out: none can get work for a heartbeat or two. */
  hasNoUsableEndpoint(now: number, timing: OwnerTiming): boolean {
    for (const record of this.endpoints) {
      const silent = now - record.lastHeartbeatAt >= timing.endpointTimeoutMs
      if (!silent && !record.leaving) return false
    }
    return true
  }

  addEndpoint(record: EndpointRecord): void {
    this.endpoints.add(record)
    this.countSlots()
    this.refresh(record)
  }

  removeEndpoint(record: EndpointRecord): void {
    this.endpoints.delete(record)
    this.countSlots()
    this.removeOpen(record)
    this.runTimes.remove(record.endpoint)
  }

  /** Adds an endpoint to the open ones or removes it, after its free slots changed. */
  refresh(record: EndpointRecord): void {
    const isOpen = this.endpoints.has(record) && record.freeSlots > 0
    if (isOpen && record.openPosition < 0) {
      record.openPosition = this.openEndpoints.length
      this.openEndpoints.push(record)
    } else if (!isOpen) this.removeOpen(record)
  }

  recordRun(now: number, endpoint: string, runMs: number, estimateMs: number): void {
    if (runMs <= 0) return
    this.meanRunMs += (this.meanRunMs === 0 ? 1 : EWMA_WEIGHT) * (runMs - this.meanRunMs)
    this.runTimes.observe(now, endpoint, runMs, estimateMs)
  }

  /** Predicted wait of a task queued now, in milliseconds, for these usable and free slots. */
  predictWaitMs(usableSlots: number, freeSlots: number): number {
    if (usableSlots === 0) return 0
    if (freeSlots > this.queue.size) return 0
    const untilFirstEnd = this.meanRunMs / usableSlots
    return untilFirstEnd + (this.queue.queuedWorkMs * this.runTimes.bias) / usableSlots
  }

  /** Moves the last open endpoint into the gap, which takes constant time. */
  private removeOpen(record: EndpointRecord): void {
    const position = record.openPosition
    if (position < 0) return
    record.openPosition = -1
    const last = this.openEndpoints.pop()
    if (last === undefined || last === record) return
    this.openEndpoints[position] = last
    last.openPosition = position
  }
}
