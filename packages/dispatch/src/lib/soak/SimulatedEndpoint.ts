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
  /** Time of the simulation at which it ends by itself. */
  readonly endsAt: number
  readonly fails: boolean
}

/** How a run will go. @internal */
export interface RunFate {
  readonly runMs: number
  readonly fails: boolean
  /** The order is carried out long after it was given. */
  readonly isLate?: boolean
}

/** @internal */
export interface SimulatedEndpointOptions {
  /** What its callers name it by: an endpoint that starts again may keep it. */
  readonly id: string
  /** Time of day of its start, as the endpoint takes it to be. */
  readonly startedAt: number
  /** Whether its notices don't tell its lives apart. */
  readonly isNamedById?: boolean
  readonly rack: string
  /** Several lives of an endpoint have one address, one after the other. */
  readonly address: string
  readonly service: string
  /** Runs that fit at the same time. */
  readonly places: number
  /** Whether it refuses what doesn't fit. */
  readonly guardsPlaces: boolean
  /** How much slower than the simulation's its clock runs, as a share. */
  readonly drift: number
  /** Where its clock starts, in milliseconds. */
  readonly clockStartMs: number
  /** Longest lease that it grants, in milliseconds of its clock. */
  readonly maxLeaseMs: number
}

/** What one run of a task wants, in thousandths of a core. */
export const TASK_CPU_MILLIS = 1_000

/** Between the id of an endpoint and its start, in the name of a life. */
const NAME_SEPARATOR = '~'

/** The id in the name of a life. @internal */
export function idOfLife(name: string): string {
  return name.split(NAME_SEPARATOR)[0] ?? name
}

/**
 * One life of an endpoint as the platform's contract describes it: fencing, leases, late orders, lists. The
 * next life under the same id knows nothing of it.
 *
 * @internal
 */
export class SimulatedEndpoint {
  readonly running = new Map<string, SimulatedRun>()
  /** Told of each start, to check promises. */
  onStart: (run: SimulatedRun, isLate: boolean) => void = () => undefined
  /** What its notices say. */
  state = NoticeState.SERVING
  private readonly highestEnded = new Map<string, number>()
  private ended: ListedRunEnd[] = []
  private position = 0
  private fence = 0
  private leaseEndsAt = -Infinity
  private sequence = 0
  /** Runs that fit now, and those that it last said to fit. */
  places: number
  /** It has crashed: nothing is carried out here any more, and nothing is answered. */
  isGone = false

  constructor(readonly options: SimulatedEndpointOptions) {
    this.places = options.places
  }

  clock(now: number): number {
    return this.options.clockStartMs + now * (1 - this.options.drift)
  }

  /** Its id and its start, as the adapter to the platform puts them together. */
  get name(): string {
    const { id, startedAt, isNamedById = false } = this.options
    return isNamedById ? id : `${id}${NAME_SEPARATOR}${startedAt}`
  }

  notice(state = this.state): EndpointNotice {
    const { id: machine, service, address, rack } = this.options
    const capacity = { cpuMillis: this.places * TASK_CPU_MILLIS, memoryMb: 1_000 }
    const sequence = ++this.sequence
    return create(EndpointNoticeSchema, {
      endpoint: this.name,
      machine,
      service,
      address,
      labels: [rack],
      state,
      capacity,
      sequence,
    })
  }

  /** Lets time pass: runs end, and all of them when the lease has run out. */
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
    if (token < this.fence) return StartResult.FENCED
    this.fence = token
    if (this.running.get(order.task)?.run === order.run) return StartResult.RUNS
    if (order.orderEndsAt < this.clock(now)) return StartResult.TOO_LATE
    this.renew(now, order.orderEndsAt)
    if (order.run <= (this.highestEnded.get(order.task) ?? 0)) return StartResult.OLD_RUN
    if (this.options.guardsPlaces && this.running.size >= this.places) return StartResult.NO_ROOM
    const run = { task: order.task, run: order.run, endsAt: now + runMs, fails }
    this.running.set(order.task, run)
    this.onStart(run, isLate)
    return StartResult.RUNS
  }

  stop(now: number, token: number, order: StopOrder): boolean {
    this.advance(now)
    if (token < this.fence) return false
    this.fence = token
    const run = this.running.get(order.task)
    if (run?.run === order.run) this.end(run, ListedEnd.STOPPED)
    const highest = this.highestEnded.get(order.task) ?? 0
    this.highestEnded.set(order.task, Math.max(highest, order.run))
    return true
  }

  /** Takes a question in, also while it waits for its answer; gives why there is none. */
  hold(now: number, token: number, order: HoldOrder): HoldFailure | undefined {
    this.advance(now)
    if (token < this.fence) return HoldFailure.FENCED
    this.fence = token
    if (order.leaseEndsAt !== undefined) this.renew(now, order.leaseEndsAt)
    const [first] = this.ended
    if (first !== undefined && first.position <= order.acknowledgedEnd) {
      this.ended = this.ended.filter(({ position }) => position > order.acknowledgedEnd)
    }
    return undefined
  }

  /** Whether there are ends that nobody has read. */
  get hasEnds(): boolean {
    return this.ended.length > 0
  }

  report(now: number): HoldReport {
    const running = Array.from(this.running.values(), ({ task, run }) => makeListedRun(task, run))
    return makeHoldReport(this.clock(now), running, this.ended)
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
