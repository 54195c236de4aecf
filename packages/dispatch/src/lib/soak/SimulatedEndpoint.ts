import { create } from '@bufbuild/protobuf'
import {
  EndpointNoticeSchema,
  HoldFailure,
  ListedEnd,
  makeHoldReport,
  makeListedRun,
  makeListedRunEnd,
  NoticeState,
  StartResult,
} from '@cherryhitch/protocol'
import type {
  EndpointNotice,
  HoldOrder,
  HoldReport,
  ListedRunEnd,
  StartOrder,
  StopOrder,
} from '@cherryhitch/protocol'

/** A run on a simulated endpoint. */
export interface SimulatedRun {
  readonly task: string
  readonly run: number
  /** Fencing token of the order that started it. */
  readonly token: number
  /** Simulated time at which it ends by itself. */
  readonly endsAt: number
  readonly fails: boolean
}

/** Duration and result of a run, determined at its start. @internal */
export interface RunFate {
  readonly runMs: number
  readonly fails: boolean
  /** Whether the order is executed long after it was sent. */
  readonly isLate?: boolean
}

/** @internal */
export interface SimulatedEndpointOptions {
  /** Id that callers address; an endpoint may keep it when it restarts. */
  readonly id: string
  /** Start time by the endpoint's wall clock. */
  readonly startedAt: number
  /** Whether its notices do not distinguish its incarnations. */
  readonly isNamedById?: boolean
  readonly rack: string
  readonly zone: string
  /** Shared by successive incarnations of the endpoint. */
  readonly address: string
  readonly service: string
  /** Number of slots. */
  readonly places: number
  /** Whether it refuses tasks beyond its slots. */
  readonly guardsPlaces: boolean
  /** Clock drift: by how much its clock runs slower than simulated time, as a share. */
  readonly drift: number
  /** Reading of its clock at simulated time 0, in milliseconds. */
  readonly clockStartMs: number
  /** Longest lease that it grants, in milliseconds by its own clock. */
  readonly maxLeaseMs: number
}

/** Processor share that each task requests, in thousandths of a core. */
export const TASK_CPU_MILLIS = 1_000

/** Separates the id and the start time in the name of an incarnation. */
const NAME_SEPARATOR = '~'

/** Returns the endpoint's id from the name of an incarnation. @internal */
export function endpointIdOf(name: string): string {
  return name.split(NAME_SEPARATOR)[0] ?? name
}

/**
 * Simulates one incarnation of an endpoint by the platform's contract: fencing, leases, expired
 * orders and lists of runs. The next incarnation under the same id shares no state with it.
 *
 * @internal
 */
export class SimulatedEndpoint {
  readonly running = new Map<string, SimulatedRun>()
  /** Called at each start of a run, to check invariants. */
  onStart: (run: SimulatedRun, isLate: boolean) => void = () => undefined
  /** State in its notices. */
  state = NoticeState.SERVING
  private readonly highestEnded = new Map<string, number>()
  private ended: ListedRunEnd[] = []
  private position = 0
  /** Highest fencing token of the orders that it has obeyed. */
  fence = 0
  private leaseEndsAt = -Infinity
  private sequence = 0
  /** Current number of slots, from which the capacity in its notices is derived. */
  places: number
  /** Whether it has crashed: it executes and answers no more orders. */
  isGone = false

  constructor(readonly options: SimulatedEndpointOptions) {
    this.places = options.places
  }

  clock(now: number): number {
    return this.options.clockStartMs + now * (1 - this.options.drift)
  }

  /** Id and start time, joined as in the adapter to the platform. */
  get name(): string {
    const { id, startedAt, isNamedById = false } = this.options
    return isNamedById ? id : `${id}${NAME_SEPARATOR}${startedAt}`
  }

  notice(state = this.state): EndpointNotice {
    const { id: machine, service, address, rack, zone } = this.options
    const capacity = { cpuMillis: this.places * TASK_CPU_MILLIS, memoryMb: 1_000 }
    const sequence = ++this.sequence
    return create(EndpointNoticeSchema, {
      endpoint: this.name,
      machine,
      service,
      address,
      zone,
      labels: [rack],
      state,
      capacity,
      sequence,
    })
  }

  /** Ends the runs that are due at the given time, or all runs if the lease has expired. */
  advance(now: number): void {
    for (const run of [...this.running.values()]) {
      if (run.endsAt > now) continue
      this.end(run, run.fails ? ListedEnd.FAILED : ListedEnd.DONE)
    }
    if (this.clock(now) <= this.leaseEndsAt) return
    for (const run of [...this.running.values()]) this.end(run, ListedEnd.LEASE_EXPIRED)
  }

  start(now: number, token: number, order: StartOrder, fate: RunFate): StartResult {
    const { runMs, fails, isLate = false } = fate
    this.advance(now)
    if (!this.obeys(token)) return StartResult.FENCED
    if (this.running.get(order.task)?.run === order.run) return StartResult.RUNS
    if (order.orderEndsAt < this.clock(now)) return StartResult.TOO_LATE
    this.renew(now, order.orderEndsAt)
    if (order.run <= (this.highestEnded.get(order.task) ?? 0)) return StartResult.OLD_RUN
    if (this.options.guardsPlaces && this.running.size >= this.places) return StartResult.NO_ROOM
    const run = { task: order.task, run: order.run, token, endsAt: now + runMs, fails }
    this.running.set(order.task, run)
    this.onStart(run, isLate)
    return StartResult.RUNS
  }

  stop(now: number, token: number, order: StopOrder): boolean {
    this.advance(now)
    if (!this.obeys(token)) return false
    const run = this.running.get(order.task)
    if (run?.run === order.run) this.end(run, ListedEnd.STOPPED)
    const highest = this.highestEnded.get(order.task) ?? 0
    this.highestEnded.set(order.task, Math.max(highest, order.run))
    return true
  }

  /** Processes a hold, also repeatedly while it waits; returns the failure, if any. */
  hold(now: number, token: number, order: HoldOrder): HoldFailure | undefined {
    this.advance(now)
    if (!this.obeys(token)) return HoldFailure.FENCED
    if (order.leaseEndsAt !== undefined) this.renew(now, order.leaseEndsAt)
    const [first] = this.ended
    if (first !== undefined && first.position <= order.acknowledgedEnd) {
      this.ended = this.ended.filter(({ position }) => position > order.acknowledgedEnd)
    }
    return undefined
  }

  /** Whether there are ended runs that no leader has acknowledged. */
  get hasEnds(): boolean {
    return this.ended.length > 0
  }

  report(now: number): HoldReport {
    const running = Array.from(this.running.values(), ({ task, run }) => makeListedRun(task, run))
    return makeHoldReport(this.clock(now), running, this.ended)
  }

  /** Whether it executes an order with this token; it then obeys no lower one any more. */
  private obeys(token: number): boolean {
    if (token < this.fence) return false
    this.fence = token
    return true
  }

  private renew(now: number, leaseEndsAt: number): void {
    const longest = this.clock(now) + this.options.maxLeaseMs
    this.leaseEndsAt = Math.max(this.leaseEndsAt, Math.min(leaseEndsAt, longest))
  }

  private end({ task, run }: SimulatedRun, end: ListedEnd): void {
    this.running.delete(task)
    this.highestEnded.set(task, Math.max(this.highestEnded.get(task) ?? 0, run))
    const position = ++this.position
    this.ended = [...this.ended, makeListedRunEnd({ position, task, run, end })]
  }
}
