import { create } from '@bufbuild/protobuf'
import { EndpointNoticeSchema, NoticeState } from '@cherryhitch/protocol'
import type { EndpointNotice } from '@cherryhitch/protocol'
import { HoldFailure } from '../DispatchEvent'
import { ListedEnd, StartResult } from '../gateway/EndpointGateway'
import type {
  HoldOrder,
  HoldReport,
  ListedRunEnd,
  StartOrder,
  StopOrder,
} from '../gateway/EndpointGateway'

/** A run on a simulated endpoint. */
export interface SimulatedRun {
  readonly task: string
  readonly run: number
  /** Time of the simulation at which it ends by itself. */
  readonly endsAt: number
  readonly fails: boolean
}

/** @internal */
export interface SimulatedEndpointOptions {
  readonly id: string
  readonly service: string
  /** Runs that fit at the same time. */
  readonly places: number
  /** How much slower than the simulation's its clock runs, as a share. */
  readonly drift: number
  /** Where its clock starts, in milliseconds. */
  readonly clockStartMs: number
  /** Longest lease that it grants, in milliseconds of its clock. */
  readonly maxLeaseMs: number
}

/** What one run of a task wants, in thousandths of a core. */
export const TASK_CPU_MILLIS = 1_000

/** An endpoint as the platform's contract describes it: fencing, leases, late orders, lists. @internal */
export class SimulatedEndpoint {
  readonly running = new Map<string, SimulatedRun>()
  /** Told of each start, to check promises. */
  onStart: (run: SimulatedRun) => void = () => undefined
  private readonly highestEnded = new Map<string, number>()
  private ended: ListedRunEnd[] = []
  private position = 0
  private fence = 0
  private leaseEndsAt = -Infinity
  private sequence = 0

  constructor(readonly options: SimulatedEndpointOptions) {}

  clock(now: number): number {
    return this.options.clockStartMs + now * (1 - this.options.drift)
  }

  notice(state = NoticeState.SERVING): EndpointNotice {
    const { id, service, places } = this.options
    const capacity = { cpuMillis: places * TASK_CPU_MILLIS, memoryMb: 1_000 }
    const sequence = ++this.sequence
    const address = `${id}:1`
    return create(EndpointNoticeSchema, {
      endpoint: id,
      service,
      address,
      state,
      capacity,
      sequence,
    })
  }

  /** Lets time pass: runs end, and all of them when the lease has run out. */
  advance(now: number): void {
    for (const run of [...this.running.values()]) {
      if (run.endsAt > now) continue
      this.end(run, run.fails ? ListedEnd.Failed : ListedEnd.Done)
    }
    if (this.clock(now) <= this.leaseEndsAt) return
    for (const run of [...this.running.values()]) this.end(run, ListedEnd.LeaseExpired)
  }

  start(now: number, order: StartOrder, runMs: number, fails: boolean): StartResult {
    this.advance(now)
    if (order.fencingToken < this.fence) return StartResult.Fenced
    this.fence = order.fencingToken
    if (this.running.get(order.task)?.run === order.run) return StartResult.Runs
    if (order.orderEndsAt < this.clock(now)) return StartResult.TooLate
    this.renew(now, order.orderEndsAt)
    if (order.run <= (this.highestEnded.get(order.task) ?? 0)) return StartResult.OldRun
    if (this.running.size >= this.options.places) return StartResult.NoRoom
    const run = { task: order.task, run: order.run, endsAt: now + runMs, fails }
    this.running.set(order.task, run)
    this.onStart(run)
    return StartResult.Runs
  }

  stop(now: number, order: StopOrder): boolean {
    this.advance(now)
    if (order.fencingToken < this.fence) return false
    this.fence = order.fencingToken
    const run = this.running.get(order.task)
    if (run?.run === order.run) this.end(run, ListedEnd.Stopped)
    const highest = this.highestEnded.get(order.task) ?? 0
    this.highestEnded.set(order.task, Math.max(highest, order.run))
    return true
  }

  hold(now: number, order: HoldOrder): HoldReport | HoldFailure {
    this.advance(now)
    if (order.fencingToken < this.fence) return HoldFailure.Fenced
    this.fence = order.fencingToken
    if (order.leaseEndsAt !== undefined) this.renew(now, order.leaseEndsAt)
    this.ended = this.ended.filter(({ position }) => position > order.acknowledgedEnd)
    const running = [...this.running.values()].map(({ task, run }) => ({ task, run }))
    return { clockMs: this.clock(now), running, ended: [...this.ended] }
  }

  private renew(now: number, leaseEndsAt: number): void {
    const longest = this.clock(now) + this.options.maxLeaseMs
    this.leaseEndsAt = Math.max(this.leaseEndsAt, Math.min(leaseEndsAt, longest))
  }

  private end({ task, run }: SimulatedRun, end: ListedEnd): void {
    this.running.delete(task)
    this.highestEnded.set(task, Math.max(this.highestEnded.get(task) ?? 0, run))
    this.ended.push({ position: ++this.position, task, run, end })
  }
}
