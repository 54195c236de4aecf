import { MessageCounts } from './messageCounts'
import type { MessageCount, MessageKind, Waste } from './messageCounts'

/** How a run at an endpoint ended. @public */
export enum RunEnd {
  Succeeded = 'succeeded',
  Failed = 'failed',
  Stopped = 'stopped',
  LeaseRanOut = 'lease_ran_out',
  /** The worker died under it. */
  Killed = 'killed',
}

/** One start of a task at an endpoint. @public */
export interface TaskRun {
  readonly taskId: string
  /** The payload's token, which the caller's ledger knows too; empty when there is none. */
  readonly token: string
  readonly endpoint: string
  /** Milliseconds since the epoch. */
  readonly startedAt: number
  endedAt?: number
  end?: RunEnd
}

/** What endpoints saw of one task id. @public */
export interface TaskTrace {
  starts: number
  joins: number
  stops: number
  refusals: number
  fences: number
}

/** Rules of the interface that an endpoint saw broken. @public */
export enum OveruseKind {
  Slots = 'slots',
  Connections = 'connections',
  Cores = 'cores',
  Memory = 'memory',
  /** New work after the grace of a leaving endpoint. */
  WorkAfterLeaving = 'work_after_leaving',
}

/** @public */
export interface Overuse {
  readonly kind: OveruseKind
  readonly endpoint: string
  readonly taskId: string
  readonly at: number
  readonly found: number
  readonly allowed: number
}

/** The ledger as plain data, for one process to hand to another. @public */
export interface EndpointLedgerData {
  readonly runs: readonly TaskRun[]
  readonly traces: readonly (readonly [string, TaskTrace])[]
  readonly messages: readonly MessageCount[]
  readonly overuses: readonly Overuse[]
  /** Stated slots per endpoint. */
  readonly slots: readonly (readonly [string, number])[]
}

function emptyTrace(): TaskTrace {
  return { starts: 0, joins: 0, stops: 0, refusals: 0, fences: 0 }
}

/** What stand-in endpoints saw, kept apart from what the system says of itself. @public */
export class EndpointLedger {
  private readonly runList: TaskRun[] = []
  private readonly traces = new Map<string, TaskTrace>()
  private readonly overuseList: Overuse[] = []
  private readonly slotsByEndpoint = new Map<string, number>()
  private readonly counts = new MessageCounts()

  get runs(): readonly TaskRun[] {
    return this.runList
  }

  get overuses(): readonly Overuse[] {
    return this.overuseList
  }

  get slots(): ReadonlyMap<string, number> {
    return this.slotsByEndpoint
  }

  get messages(): readonly MessageCount[] {
    return this.counts.toData()
  }

  /** What was seen of one task id; all zero when nothing was. */
  trace(taskId: string): Readonly<TaskTrace> {
    return this.traces.get(taskId) ?? emptyTrace()
  }

  recordEndpoint(endpoint: string, slots: number): void {
    this.slotsByEndpoint.set(endpoint, slots)
  }

  recordMessage(kind: MessageKind, waste?: Waste): void {
    this.counts.add(kind, waste)
  }

  recordStart(taskId: string, token: string, endpoint: string, now: number): TaskRun {
    const run: TaskRun = { taskId, token, endpoint, startedAt: now }
    this.runList.push(run)
    this.traceOf(taskId).starts++
    return run
  }

  recordEnd(run: TaskRun, end: RunEnd, now: number): void {
    run.end = end
    run.endedAt = now
  }

  recordJoin(taskId: string): void {
    this.traceOf(taskId).joins++
  }

  recordStop(taskId: string): void {
    this.traceOf(taskId).stops++
  }

  recordRefusal(taskId: string): void {
    this.traceOf(taskId).refusals++
  }

  recordFence(taskId: string): void {
    this.traceOf(taskId).fences++
  }

  recordOveruse(overuse: Overuse): void {
    this.overuseList.push(overuse)
  }

  toData(): EndpointLedgerData {
    return {
      runs: this.runList,
      traces: [...this.traces],
      messages: this.messages,
      overuses: this.overuseList,
      slots: [...this.slotsByEndpoint],
    }
  }

  /** Takes in what endpoints of another process saw. */
  absorb(data: EndpointLedgerData): void {
    for (const run of data.runs) this.runList.push(run)
    for (const overuse of data.overuses) this.overuseList.push(overuse)
    for (const [endpoint, slots] of data.slots) this.slotsByEndpoint.set(endpoint, slots)
    for (const [taskId, other] of data.traces) {
      const trace = this.traceOf(taskId)
      trace.starts += other.starts
      trace.joins += other.joins
      trace.stops += other.stops
      trace.refusals += other.refusals
      trace.fences += other.fences
    }
    this.counts.absorb(data.messages)
  }

  private traceOf(taskId: string): TaskTrace {
    const known = this.traces.get(taskId)
    if (known !== undefined) return known
    const trace = emptyTrace()
    this.traces.set(taskId, trace)
    return trace
  }
}
