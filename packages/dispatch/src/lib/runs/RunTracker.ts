import { ListedEnd, StartResult } from '@cherryhitch/protocol'
import type { HoldReport, ListedRun, ListedRunEnd } from '@cherryhitch/protocol'
import { DispatchActionKind, Stage } from '../DispatchAction'
import { Mechanism } from '@cherryhitch/model'
import type { DispatchCore } from '../DispatchCore'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { LeaseLoop } from '../endpoints/LeaseLoop'
import { TaskState } from '../jobs/Job'
import type { Task } from '../jobs/Job'
import { createOrphanRun } from './createOrphanRun'
import { firstPollAt, nextPollAt } from './lookTimes'
import { RunEnd, RunState } from './Run'
import type { Run } from './Run'
import { runEndOf } from './runEndOf'
import { RunOrders } from './RunOrders'

/** Notified of the end of runs, of lost endpoints, and of runs of earlier leaders. @internal */
export interface RunListener {
  /** An endpoint is lost; all of its runs are about to end as lost. */
  onEndpointLost(now: number, endpoint: EndpointRecord): void
  /** An endpoint without runs is lost. */
  onIdleEndpointLost(now: number, endpoint: EndpointRecord): void
  onRunOver(now: number, run: Run, end: RunEnd): void
  /** A run of an earlier leader was found; its job may already be known here. */
  onForeignRun(now: number, run: Run): void
  /** A run of an earlier leader completed its task. */
  onForeignDone(now: number, name: string): void
}

/** Time after which an unanswered order to stop is repeated, in milliseconds. */
const STOP_RETRY_MS = 20
/**
 * Maximum number of times an order to start is sent. The endpoint answers a repeated order like the
 * first one, so repeating it is safe. With one order in five lost, the outcome of one start in 125
 * stays unknown.
 */
const MAX_START_ORDERS = 3

/**
 * Starts and stops runs, and tracks their state. The reports of the endpoint are authoritative: the
 * outcome of an unanswered order is unknown until a report shows it, or until the order expires.
 *
 * @internal
 */
export class RunTracker {
  /** Runs found when this instance became leader whose job is not known, by task. */
  readonly #orphans = new Map<string, Run>()
  readonly #foreign = new Set<Run>()
  readonly #orders: RunOrders

  constructor(
    private readonly core: DispatchCore,
    private readonly leases: LeaseLoop,
    private readonly listener: RunListener,
  ) {
    this.#orders = new RunOrders(core)
  }

  clear(): void {
    this.#orphans.clear()
    this.#foreign.clear()
  }

  /** Active runs that this leader didn't start and whose job it doesn't know. */
  get foreign(): ReadonlySet<Run> {
    return this.#foreign
  }

  /** Orders a task to start; returns false if no order can be sent now. */
  start(now: number, task: Task, endpoint: EndpointRecord, expectedMs: number): boolean {
    const { term, timing, counters } = this.core
    const orderEndsAt = this.leases.orderEnd(now, endpoint, timing.startOrderValidityMs)
    if (term === undefined || orderEndsAt === undefined) return false
    if (this.core.awaitsOtherRuns(endpoint)) return false
    const number = ++task.lastRun
    const { name, job } = task
    const run: Run = {
      task,
      name,
      number,
      endpoint,
      needs: job.step(task).needs,
      state: RunState.Starting,
      sentAt: now,
      startOrders: 0,
      orderEndsAt,
      confirmedAt: undefined,
      expectedMs,
      stopConfirmedAt: undefined,
      stopDueAt: Infinity,
      pollDueAt: Infinity,
      stopReason: '',
    }
    task.run = run
    job.setTaskState(task, TaskState.Placed)
    endpoint.addRun(run)
    endpoint.leaseEndsAt = Math.max(endpoint.leaseEndsAt, orderEndsAt)
    counters.starts++
    this.#orders.start(now, run, task)
    return true
  }

  /**
   * Orders a run to stop, unless it was already; the order is repeated until its end is reported.
   */
  stop(now: number, run: Run, reason: string): void {
    if (run.state === RunState.Stopping) return
    run.state = RunState.Stopping
    run.stopReason = reason
    this.#orders.stop(now, run)
  }

  onStartAnswered(now: number, run: Run, result: StartResult): void {
    const { counters } = this.core
    this.core.emit({
      kind: DispatchActionKind.Measure,
      stage: Stage.Start,
      route: run.task?.job.route.name ?? '',
      ms: now - run.sentAt,
    })
    switch (result) {
      case StartResult.RUNS:
        this.#confirmStart(now, run)
        return
      case StartResult.UNKNOWN:
        counters.starts_unanswered++
        if (run.task !== undefined) run.task.job.anomalies.unansweredStarts++
        this.leases.noteUnanswered(now, run.endpoint)
        this.#onStartUnanswered(now, run)
        return
      default:
        counters.starts_rejected++
        this.#onStartRejected(now, run, result)
    }
  }

  onStopAnswered(now: number, run: Run, confirmed: boolean): void {
    if (!confirmed) {
      run.stopDueAt = Math.min(run.stopDueAt, now + STOP_RETRY_MS)
      return
    }
    run.stopConfirmedAt ??= now
    // For a run that never started, the endpoint reports no end: poll for a report without it.
    if (run.confirmedAt === undefined) run.pollDueAt = now
  }

  /** Processes an endpoint's report; `sentAt` is when the hold or poll for it was sent. */
  onReport(now: number, endpoint: EndpointRecord, sentAt: number, report: HoldReport): void {
    // Another incarnation replaced it before any report of it was read: this one is outdated.
    if (endpoint.isReplaced && !endpoint.isSynced) return
    // Answers may arrive out of order: an older report lists runs that have ended since.
    if (report.clockMs < endpoint.reportedClockMs) return
    const isNewer = report.clockMs > endpoint.reportedClockMs
    endpoint.reportedClockMs = report.clockMs
    const isFirst = !endpoint.isSynced
    endpoint.isSynced = true
    if (isFirst) endpoint.syncedAt = now
    // An earlier leader may have renewed the lease until this report; from now on it can't.
    const grantedUntil = isFirst ? report.clockMs + this.core.timing.maxGrantMs : -Infinity
    endpoint.leaseEndsAt = Math.max(endpoint.leaseEndsAt, grantedUntil)
    if (isFirst) this.#retireEarlierIncarnations(now, endpoint)
    for (const ended of report.ended) this.#onListedEnd(now, endpoint, ended, isFirst)
    const listed = new Set<string>()
    for (const running of report.running) {
      listed.add(`${running.task}#${running.run}`)
      if (isNewer || endpoint.runs.has(running.task)) {
        this.#onListedRun(now, endpoint, running, isFirst)
      }
    }
    for (const run of [...endpoint.runs.values()]) {
      if (listed.has(`${run.name}#${run.number}`)) continue
      const end = this.#unlistedEnd(run, sentAt, report.clockMs)
      if (end !== undefined) this.#finish(now, run, end)
    }
  }

  /**
   * Marks the other incarnations of a machine as replaced: the one that answers is the current one.
   * Orders for the others may have reached it. Its own first order has a higher fencing token than
   * all of them, so its report shows their effects.
   */
  #retireEarlierIncarnations(now: number, endpoint: EndpointRecord): void {
    for (const earlier of this.core.endpoints.otherIncarnations(endpoint)) {
      if (!earlier.isReplaced) this.leases.noteUnanswered(now, earlier)
      earlier.replace()
      const { id, runs } = earlier
      const fields = { endpoint: endpoint.id, earlier: id, runs: runs.size }
      this.core.log('endpoint process was restarted', fields)
      if (runs.size > 0) this.#markAllLost(now, earlier)
    }
  }

  #markAllLost(now: number, endpoint: EndpointRecord): void {
    this.listener.onEndpointLost(now, endpoint)
    for (const run of [...endpoint.runs.values()]) this.#finish(now, run, RunEnd.Lost)
  }

  /**
   * Assigns the run of an earlier leader to the task of a resubmitted job; false if there is none.
   */
  adopt(now: number, task: Task): boolean {
    const run = this.#orphans.get(task.name)
    if (run === undefined) return false
    this.#orphans.delete(task.name)
    this.#foreign.delete(run)
    run.task = task
    run.needs = task.job.step(task).needs
    run.expectedMs = task.job.runMs(task) * this.core.slownessOf(now, run.endpoint)
    run.endpoint.noteChange()
    run.pollDueAt = firstPollAt(now, run, this.core.lastLostOrderAt)
    task.run = run
    task.lastRun = Math.max(task.lastRun, run.number)
    task.job.setTaskState(task, TaskState.Placed)
    return true
  }

  tick(now: number): void {
    const { orphanTimeoutMs } = this.core.timing
    for (const run of this.#orphans.values()) {
      if (now - run.sentAt < orphanTimeoutMs) continue
      this.stop(now, run, 'nobody submitted its job again')
    }
    for (const endpoint of this.core.endpoints.all()) this.#tickEndpoint(now, endpoint)
  }

  #tickEndpoint(now: number, endpoint: EndpointRecord): void {
    if (endpoint.runs.size === 0) {
      if (isUnresponsive(endpoint)) this.listener.onIdleEndpointLost(now, endpoint)
      return
    }
    const isLost = endpoint.isReplaced || endpoint.unanswered > 0
    if (isLost && this.leases.hasLapsed(now, endpoint)) {
      this.#markAllLost(now, endpoint)
      return
    }
    for (const run of endpoint.runs.values()) {
      if (now >= run.stopDueAt) this.#orders.stop(now, run)
      if (now < run.pollDueAt || !this.core.isEnabled(Mechanism.OverduePolls)) continue
      run.pollDueAt = nextPollAt(now, run)
      this.leases.pollNow(now, endpoint)
    }
  }

  /**
   * An order to start was not answered: it is sent again while it is valid, unless a report has
   * shown the run.
   */
  #onStartUnanswered(now: number, run: Run): void {
    if (run.state !== RunState.Starting) return
    const isValid = run.endpoint.clock.at(now) < run.orderEndsAt
    const mayRepeat =
      this.core.isEnabled(Mechanism.StartRetries) &&
      run.startOrders < MAX_START_ORDERS &&
      !this.core.isInDrainedZone(run.endpoint)
    if (run.task === undefined || !mayRepeat || !isValid) {
      this.stop(now, run, 'its start got no answer')
      return
    }
    this.core.counters.starts_repeated++
    this.#orders.start(now, run, run.task)
  }

  /** A rejection proves that nothing started only for the first order: an earlier one may have. */
  #onStartRejected(now: number, run: Run, result: StartResult): void {
    this.#noteRejection(now, run, result)
    if (run.startOrders === 1) this.#finish(now, run, RunEnd.NotRun)
    // It has already started and ended: the next report shows the end.
    else if (result === StartResult.OLD_RUN) this.#confirmStart(now, run)
    else this.stop(now, run, 'it is not known whether it started')
  }

  #confirmStart(now: number, run: Run): void {
    if (run.confirmedAt === undefined) {
      run.confirmedAt = now
      run.endpoint.noteChange()
    }
    if (run.state !== RunState.Starting) return
    run.state = RunState.Running
    run.pollDueAt = firstPollAt(now, run, this.core.lastLostOrderAt)
  }

  #onListedEnd(
    now: number,
    endpoint: EndpointRecord,
    { task, run: number, position, end }: ListedRunEnd,
    isFirst: boolean,
  ): void {
    if (position <= endpoint.acknowledgedEnd) return
    endpoint.acknowledgedEnd = position
    const run = endpoint.runs.get(task)
    if (run?.number === number) this.#finish(now, run, runEndOf(end))
    else if (isFirst && end === ListedEnd.DONE) this.listener.onForeignDone(now, task)
  }

  #onListedRun(now: number, endpoint: EndpointRecord, listed: ListedRun, isFirst: boolean): void {
    const run = endpoint.runs.get(listed.task)
    if (run?.number === listed.run) {
      if (run.state === RunState.Starting) this.#confirmStart(now, run)
      return
    }
    if (run !== undefined) return
    const orphan = createOrphanRun(now, endpoint, listed)
    endpoint.addRun(orphan)
    this.#foreign.add(orphan)
    if (!isFirst) {
      this.stop(now, orphan, 'it is not expected there')
      return
    }
    this.#orphans.set(listed.task, orphan)
    this.listener.onForeignRun(now, orphan)
  }

  /** How a run ended that its endpoint no longer reports; undefined while that is unknown. */
  #unlistedEnd(run: Run, sentAt: number, clockMs: number): RunEnd | undefined {
    if (run.confirmedAt !== undefined) {
      return run.confirmedAt < sentAt ? RunEnd.Lost : undefined
    }
    // It never started: the order has expired, or the endpoint was told to refuse it.
    if (clockMs > run.orderEndsAt) return RunEnd.NotRun
    const isStopped = run.stopConfirmedAt !== undefined && run.stopConfirmedAt < sentAt
    return isStopped ? RunEnd.NotRun : undefined
  }

  #noteRejection(now: number, run: Run, result: StartResult): void {
    const { endpoint, task, name, number } = run
    if (result === StartResult.REPLACED) endpoint.replace()
    if (result === StartResult.NO_ROOM)
      endpoint.pausedUntil = now + this.core.timing.capacityBackoffMs
    if (result === StartResult.UNHEALTHY || result === StartResult.NOT_SENT) {
      endpoint.pausedUntil = now + this.core.timing.holdRetryDelayMs
    }
    if (result === StartResult.MALFORMED) task?.avoidedEndpoints.add(endpoint.id)
    this.core.log('endpoint rejected the start of a run', {
      job: task?.job.id ?? '',
      task: name,
      run: number,
      endpoint: endpoint.id,
      result: StartResult[result],
    })
  }

  #finish(now: number, run: Run, end: RunEnd): void {
    const { endpoint, name, task } = run
    endpoint.removeRun(run)
    if (this.#orphans.get(name) === run) this.#orphans.delete(name)
    this.#foreign.delete(run)
    if (task?.run === run) task.run = undefined
    if (task === undefined && end === RunEnd.Done) this.listener.onForeignDone(now, name)
    this.listener.onRunOver(now, run, end)
  }
}

/** Whether a synced endpoint was replaced or left more than one call unanswered. */
function isUnresponsive({ isSynced, isReplaced, unanswered }: EndpointRecord): boolean {
  return isSynced && (isReplaced || unanswered > 1)
}
