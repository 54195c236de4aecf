import type { TaskQueue } from '@cherryhitch/policy'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { OwnerTiming } from '../OwnerOptions'
import type { TaskRecord } from '../tasks/TaskRecord'
import { SlownessTracker } from './SlownessTracker'

const EWMA_WEIGHT = 0.05

/** The queue of one service and the endpoints of it that are owned here. @internal */
export class ServiceLane {
  readonly endpoints = new Set<EndpointRecord>()
  /** Endpoints with a free slot by the numbers, in no order, so that dispatch scans only these. */
  readonly open: EndpointRecord[] = []
  readonly pace = new SlownessTracker()
  /** Where the next scan of `open` starts. */
  cursor = 0
  /** Tasks that truly did not run and wait for their delay to pass. */
  delayed = 0
  private slotTotal = 0
  meanRunMs = 0

  constructor(
    readonly service: string,
    public queue: TaskQueue<TaskRecord>,
  ) {}

  get isEmpty(): boolean {
    return this.endpoints.size === 0 && this.queue.size === 0 && this.delayed === 0
  }

  /** Slots of all its endpoints that are not leaving, as of the last count. */
  get slots(): number {
    return this.slotTotal
  }

  countSlots(): void {
    this.slotTotal = 0
    for (const record of this.endpoints) this.slotTotal += record.leaving ? 0 : record.slots
  }

  /** Whether it has endpoints, but none that may get work within a heartbeat or two. */
  isDeserted(now: number, timing: OwnerTiming): boolean {
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
    this.close(record)
    this.pace.forget(record.endpoint)
  }

  /** Takes an endpoint into the open ones or out of them, after its numbers changed. */
  refresh(record: EndpointRecord): void {
    const open = this.endpoints.has(record) && record.freeSlots > 0
    if (open && record.openPosition < 0) {
      record.openPosition = this.open.length
      this.open.push(record)
    } else if (!open) this.close(record)
  }

  recordRun(now: number, endpoint: string, runMs: number, estimateMs: number): void {
    if (runMs <= 0) return
    this.meanRunMs += (this.meanRunMs === 0 ? 1 : EWMA_WEIGHT) * (runMs - this.meanRunMs)
    this.pace.record(now, endpoint, runMs, estimateMs)
  }

  /** Predicted wait of a task queued now, in milliseconds, with so many usable and free slots. */
  predictWaitMs(usableSlots: number, freeSlots: number): number {
    if (usableSlots === 0) return 0
    if (freeSlots > this.queue.size) return 0
    const untilFirstEnd = this.meanRunMs / usableSlots
    return untilFirstEnd + (this.queue.queuedWorkMs * this.pace.bias) / usableSlots
  }

  /** The last open endpoint moves into the gap, so nothing has to be searched. */
  private close(record: EndpointRecord): void {
    const position = record.openPosition
    if (position < 0) return
    record.openPosition = -1
    const last = this.open.pop()
    if (last === undefined || last === record) return
    this.open[position] = last
    last.openPosition = position
  }
}
