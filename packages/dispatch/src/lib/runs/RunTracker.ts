import { ListedEnd, StartResult } from '@cherryhitch/protocol'
import type { HoldReport, ListedRun, ListedRunEnd } from '@cherryhitch/protocol'
import { DispatchActionKind, Stage } from '../DispatchAction'
import { Mechanism } from '@cherryhitch/model'
import type { DispatchCore } from '../DispatchCore'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { LeaseLoop } from '../endpoints/LeaseLoop'
import { TaskState } from '../jobs/Job'
import type { Task } from '../jobs/Job'
import { foundRun } from './foundRun'
import { firstLookAt, lookAgainAt } from './lookTimes'
import { RunEnd, RunState } from './Run'
import type { Run } from './Run'
import { runEndOf } from './runEndOf'
import { RunOrders } from './RunOrders'

/** Told of each run that is over, and of runs that nobody here knows. @internal */
export interface RunListener {
  /** The runs at an endpoint are given up together, since nothing is heard of it. */
  onEndpointLost(now: number, endpoint: EndpointRecord): void
  /** An endpoint where nothing runs is gone. */
  onIdleEndpointLost(now: number, endpoint: EndpointRecord): void
  onRunOver(now: number, run: Run, end: RunEnd): void
  /** A run of an earlier leader was found; its job may be known here already. */
  onForeignRun(now: number, run: Run): void
  /** A run of an earlier leader ended as done. */
  onForeignDone(now: number, name: string): void
}

/** An order to stop that got no answer is repeated after this, in milliseconds. */
const STOP_RETRY_MS = 20
/**
 * An order to start is sent so many times at the most. The endpoint answers a repeated one as the
 * first, so that it does no harm; with one order in five lost, one start in 125 stays in doubt.
 */
const MAX_START_ORDERS = 3

/**
 * Starts and stops runs, and finds out what became of them. The endpoint's own lists decide: an
 * order without an answer is in doubt until they, or the end of its validity, tell.
 *
 * @internal
 */
export class RunTracker {
  /** Runs found at take-over whose job is not known, by task. */
  readonly #orphans = new Map<string, Run>()
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
  }

  /** Orders a task to start; false when no order can be given now. */
  start(now: number, task: Task, endpoint: EndpointRecord, expectedMs: number): boolean {
    const { term, timing, counters } = this.core
    const orderEndsAt = this.leases.orderEnd(now, endpoint, timing.startOrderMs)
    if (term === undefined || orderEndsAt === undefined) return false
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
      lookDueAt: Infinity,
      stopReason: '',
    }
    task.run = run
    job.move(task, TaskState.Placed)
    endpoint.addRun(run)
    endpoint.leaseEndsAt = Math.max(endpoint.leaseEndsAt, orderEndsAt)
    counters.starts++
    this.#orders.start(now, run, task)
    return true
  }

  /** Orders a run to stop, once; repeated until its end is listed. */
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
        this.#noteBegun(now, run)
        return
      case StartResult.UNKNOWN:
        counters.starts_unanswered++
        if (run.task !== undefined) run.task.job.mishaps.unansweredStarts++
        this.leases.noteSilence(now, run.endpoint)
        this.#onStartLost(now, run)
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
    // One that never began has no end that the endpoint would tell of.
    if (run.confirmedAt === undefined) run.lookDueAt = now
  }

  /** Takes in what an endpoint lists; the hold for it was sent at the given time. */
  onReport(now: number, endpoint: EndpointRecord, sentAt: number, report: HoldReport): void {
    // Its lists were never read, and another life is there now: what this answer shows is over.
    if (endpoint.isReplaced && !endpoint.isAdopted) return
    // Answers may overtake each other: an older list shows what has ended as running.
    if (report.clockMs < endpoint.reportedClockMs) return
    const isNewer = report.clockMs > endpoint.reportedClockMs
    endpoint.reportedClockMs = report.clockMs
    const isFirst = !endpoint.isAdopted
    endpoint.isAdopted = true
    if (isFirst) endpoint.adoptedAt = now
    // An earlier leader may have renewed the lease until just now; from now on it can't.
    const grantedUntil = isFirst ? report.clockMs + this.core.timing.maxGrantMs : -Infinity
    endpoint.leaseEndsAt = Math.max(endpoint.leaseEndsAt, grantedUntil)
    if (isFirst) this.#endEarlierLives(now, endpoint)
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
   * A life that answers is the present one of its machine. Orders for those before it may have reached it;
   * the first of its own has a higher token than all of them, so that its lists show what they did.
   */
  #endEarlierLives(now: number, endpoint: EndpointRecord): void {
    for (const earlier of this.core.endpoints.otherLives(endpoint)) {
      if (!earlier.isReplaced) this.leases.noteSilence(now, earlier)
      earlier.replace()
      const { id, runs } = earlier
      const fields = { endpoint: endpoint.id, earlier: id, runs: runs.size }
      this.core.log('an endpoint has started again', fields)
      if (runs.size > 0) this.#loseAll(now, earlier)
    }
  }

  #loseAll(now: number, endpoint: EndpointRecord): void {
    this.listener.onEndpointLost(now, endpoint)
    for (const run of [...endpoint.runs.values()]) this.#finish(now, run, RunEnd.Lost)
  }

  /** A run of an earlier leader goes on for the job that was submitted again. */
  adopt(now: number, task: Task): boolean {
    const run = this.#orphans.get(task.name)
    if (run === undefined) return false
    this.#orphans.delete(task.name)
    run.task = task
    run.needs = task.job.step(task).needs
    run.expectedMs = task.job.runMs(task) * this.core.slownessOf(now, run.endpoint)
    run.endpoint.noteChange()
    run.lookDueAt = firstLookAt(now, run, this.core.silenceAt)
    task.run = run
    task.lastRun = Math.max(task.lastRun, run.number)
    task.job.move(task, TaskState.Placed)
    return true
  }

  tick(now: number): void {
    const { orphanWaitMs } = this.core.timing
    for (const run of this.#orphans.values()) {
      if (now - run.sentAt < orphanWaitMs) continue
      this.stop(now, run, 'nobody submitted its job again')
    }
    for (const endpoint of this.core.endpoints.all()) this.#tickEndpoint(now, endpoint)
  }

  #tickEndpoint(now: number, endpoint: EndpointRecord): void {
    if (endpoint.runs.size === 0) {
      if (isSurelySilent(endpoint)) this.listener.onIdleEndpointLost(now, endpoint)
      return
    }
    const isLost = endpoint.isReplaced || endpoint.unanswered > 0
    if (isLost && this.leases.hasLapsed(now, endpoint)) {
      this.#loseAll(now, endpoint)
      return
    }
    for (const run of endpoint.runs.values()) {
      if (now >= run.stopDueAt) this.#orders.stop(now, run)
      if (now < run.lookDueAt || !this.core.uses(Mechanism.Looks)) continue
      run.lookDueAt = lookAgainAt(now, run)
      this.leases.look(now, endpoint)
    }
  }

  /** An order to start got no answer: it is sent again, unless the lists have shown the run. */
  #onStartLost(now: number, run: Run): void {
    if (run.state !== RunState.Starting) return
    const isValid = run.endpoint.clock.at(now) < run.orderEndsAt
    const mayRepeat = this.core.uses(Mechanism.RepeatedStarts) && run.startOrders < MAX_START_ORDERS
    if (run.task === undefined || !mayRepeat || !isValid) {
      this.stop(now, run, 'its start got no answer')
      return
    }
    this.core.counters.starts_repeated++
    this.#orders.start(now, run, run.task)
  }

  /** What a rejection tells is sure only if the order was the first: an earlier one may have run. */
  #onStartRejected(now: number, run: Run, result: StartResult): void {
    this.#noteRejection(now, run, result)
    if (run.startOrders === 1) this.#finish(now, run, RunEnd.NotRun)
    // It has begun and ended already: the end is listed.
    else if (result === StartResult.OLD_RUN) this.#noteBegun(now, run)
    else this.stop(now, run, 'it is not known whether it started')
  }

  #noteBegun(now: number, run: Run): void {
    if (run.confirmedAt === undefined) {
      run.confirmedAt = now
      run.endpoint.noteChange()
    }
    if (run.state !== RunState.Starting) return
    run.state = RunState.Running
    run.lookDueAt = firstLookAt(now, run, this.core.silenceAt)
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
      if (run.state === RunState.Starting) this.#noteBegun(now, run)
      return
    }
    if (run !== undefined) return
    const orphan = foundRun(now, endpoint, listed)
    endpoint.addRun(orphan)
    if (!isFirst) {
      this.stop(now, orphan, 'it is not expected there')
      return
    }
    this.#orphans.set(listed.task, orphan)
    this.listener.onForeignRun(now, orphan)
  }

  /** Why a run is over that its endpoint doesn't list; undefined while that is open. */
  #unlistedEnd(run: Run, sentAt: number, clockMs: number): RunEnd | undefined {
    if (run.confirmedAt !== undefined) {
      return run.confirmedAt < sentAt ? RunEnd.Lost : undefined
    }
    // It never began: the order is no longer valid, or the endpoint was told to refuse it.
    if (clockMs > run.orderEndsAt) return RunEnd.NotRun
    const isStopped = run.stopConfirmedAt !== undefined && run.stopConfirmedAt < sentAt
    return isStopped ? RunEnd.NotRun : undefined
  }

  #noteRejection(now: number, run: Run, result: StartResult): void {
    const { endpoint, task, name, number } = run
    if (result === StartResult.REPLACED) endpoint.replace()
    if (result === StartResult.NO_ROOM) endpoint.pausedUntil = now + this.core.timing.roomPauseMs
    if (result === StartResult.UNHEALTHY || result === StartResult.NOT_SENT) {
      endpoint.pausedUntil = now + this.core.timing.retryHoldMs
    }
    if (result === StartResult.MALFORMED) task?.avoid.add(endpoint.id)
    this.core.log('a start was rejected', {
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
    if (task?.run === run) task.run = undefined
    if (task === undefined && end === RunEnd.Done) this.listener.onForeignDone(now, name)
    this.listener.onRunOver(now, run, end)
  }
}

/** Whether more than one answer of an endpoint is missing. */
function isSurelySilent({ isAdopted, isReplaced, unanswered }: EndpointRecord): boolean {
  return isAdopted && (isReplaced || unanswered > 1)
}
