import { exhaustive } from '@cherryhitch/model'
import { Outcome, Reason } from '@cherryhitch/protocol'
import type { Dispatcher } from '../dispatch/Dispatcher'
import type { StopResult } from '../endpointResults'
import { StopState } from '../endpointResults'
import type { EndpointProbes } from '../endpoints/EndpointProbes'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { NotRunHandler } from '../outcomes/NotRunHandler'
import type { TaskResult } from '../outcomes/TaskResult'
import type { TaskSettler } from '../outcomes/TaskSettler'
import { OwnerActionKind } from '../OwnerAction'
import type { OwnerContext } from '../OwnerContext'
import type { TaskRecord } from '../tasks/TaskRecord'
import { IN_FLIGHT_GRACE_MS } from './inFlightGrace'
import { TaskPhase } from '../tasks/TaskRecord'

/** Heartbeats within this time after a fence may predate it, and do not confirm it. */
const CONFIRM_MARGIN_MS = 100

/**
 * Determines the state of tasks whose request broke or stopped responding.
 *
 * A lease renewal asks the endpoint whether the task runs. If it does, a second request joins it
 * and fetches the result. If it does not, the id is fenced: a task that the endpoint never saw did
 * not run and may be retried elsewhere; the result of a task that had ended is fetched. Without an
 * answer, the owner waits until the lease expires.
 *
 * @internal
 */
export class LostTaskRecovery {
  constructor(
    private readonly ctx: OwnerContext,
    private readonly settler: TaskSettler,
    private readonly notRun: NotRunHandler,
    private readonly dispatcher: Dispatcher,
    private readonly probes: EndpointProbes,
  ) {}

  /** The endpoint renewed the lease of the task, so the task is running. */
  confirmRunning(
    now: number,
    record: EndpointRecord,
    task: TaskRecord,
    boot: number | undefined,
  ): void {
    task.leasedAt = record.renewalSentAt
    task.unansweredRenewals = 0
    task.missingFromRenewalAt = undefined
    task.missingFromHeartbeatAt = undefined
    task.confirmedByRenewal = true
    task.recheckAt = 0
    if (boot !== undefined) task.endpointBoot = boot
    if (task.phase === TaskPhase.Checking) this.dispatcher.join(now, task)
  }

  /** The endpoint answered the renewal without listing the task as running. */
  handleNotRunning(now: number, task: TaskRecord): void {
    task.unansweredRenewals = 0
    const unlisted =
      task.missingFromHeartbeatAt !== undefined &&
      now - task.missingFromHeartbeatAt >= IN_FLIGHT_GRACE_MS
    if (task.phase === TaskPhase.Checking) this.fence(task)
    else if (task.phase === TaskPhase.Running && unlisted) this.fence(task)
    else if (task.phase === TaskPhase.Running) {
      task.missingFromRenewalAt ??= now
      task.recheckAt = now + IN_FLIGHT_GRACE_MS
      task.endpoint?.scheduleCheck(task.recheckAt)
    }
  }

  /** Sends the next fence or stop request for a task if it is due. */
  checkTask(now: number, task: TaskRecord): void {
    if (now < task.recheckAt) return
    const notRunning = task.phase === TaskPhase.Running && task.missingFromRenewalAt !== undefined
    if (notRunning) this.fence(task)
    else if (task.phase === TaskPhase.Fencing || task.phase === TaskPhase.Stopping) {
      this.ctx.requestStop(task)
    }
  }

  /** Sends pending stop requests. Each endpoint has one open message; later ids wait for it. */
  sendStops(now: number): void {
    for (const record of this.ctx.endpointsWithPendingStops) {
      if (record.stopsInFlight !== undefined || record.pendingStops.size === 0) continue
      const taskIds = [...record.pendingStops]
      record.pendingStops.clear()
      record.stopsInFlight = taskIds
      record.stopsSentAt = now
      record.scheduleCheck(now + this.ctx.timing.recheckMs)
      this.ctx.counters.stopMessages++
      const { endpoint, address } = record
      this.ctx.outbox.push({ kind: OwnerActionKind.StopTasks, endpoint, address, taskIds })
    }
    this.ctx.endpointsWithPendingStops.clear()
  }

  /** Handles the answer to StopTasks; ids missing from it count as unanswered. */
  handleStopResults(
    now: number,
    record: EndpointRecord,
    results: readonly StopResult[],
    boot: number | undefined,
  ): void {
    const taskIds = record.stopsInFlight
    if (taskIds === undefined) {
      this.ctx.counters.lateAnswers++
      return
    }
    record.stopsInFlight = undefined
    const states = new Map(results.map((result) => [result.taskId, result.state]))
    const answers = taskIds.map((taskId) => states.get(taskId) ?? StopState.NoAnswer)
    if (answers.includes(StopState.NoAnswer)) this.probes.suspect(now, record)
    for (const [position, taskId] of taskIds.entries()) {
      const task = record.running.get(taskId)
      const state = answers[position]
      if (task !== undefined && state !== undefined) this.handleStopResult(now, task, state, boot)
    }
    if (record.pendingStops.size > 0) this.ctx.endpointsWithPendingStops.add(record)
  }

  private handleStopResult(
    now: number,
    task: TaskRecord,
    state: StopState,
    boot: number | undefined,
  ): void {
    const stopping = task.phase === TaskPhase.Stopping
    if (!stopping && task.phase !== TaskPhase.Fencing) return
    switch (state) {
      case StopState.NeverSeen:
        this.handleNeverSeen(now, task, boot)
        return
      case StopState.Stopped:
        this.handleStopped(now, task, stopping)
        return
      case StopState.Ended:
        if (!stopping) this.dispatcher.join(now, task)
        else this.handleEndedBeforeStop(now, task)
        return
      case StopState.NoAnswer:
        this.handleNoAnswer(now, task)
        return
      default:
        exhaustive(state)
    }
  }

  /**
   * "Never seen" counts only if it comes from the process that the task was sent to. If the answer
   * does not name its boot, a later heartbeat has to confirm that the endpoint did not restart.
   */
  private handleNeverSeen(now: number, task: TaskRecord, boot: number | undefined): void {
    if (task.started || (boot !== undefined && boot !== task.endpointBoot)) {
      this.settleUnknown(now, task, 'The endpoint restarted before it answered.')
    } else if (boot !== undefined || task.reportClosed) this.notRun.handleFenced(now, task)
    else {
      task.phase = TaskPhase.Confirming
      task.recheckAt = now + CONFIRM_MARGIN_MS
    }
  }

  private handleStopped(now: number, task: TaskRecord, wanted: boolean): void {
    if (!wanted) {
      this.settleUnknown(now, task, 'It was stopped when its request was lost.')
      return
    }
    this.settler.settle(now, task, {
      outcome: Outcome.FAILED,
      reason: Reason.DEADLINE_PASSED,
      detail: 'It was stopped while it ran, after its deadline had passed.',
      runMs: now - task.dispatchedAt,
    })
  }

  /** The task ended before the stop; if a request is open, its answer is awaited briefly. */
  private handleEndedBeforeStop(now: number, task: TaskRecord): void {
    if (task.reportClosed || task.requests.length === 0)
      this.settler.settle(now, task, unknownAfterDeadline)
    else {
      const until = now + IN_FLIGHT_GRACE_MS
      task.fallbackEnd = { until, result: unknownAfterDeadline }
      task.endpoint?.scheduleCheck(until)
    }
  }

  private handleNoAnswer(now: number, task: TaskRecord): void {
    task.recheckAt = now + this.ctx.timing.recheckMs
    task.endpoint?.scheduleCheck(task.recheckAt)
    if (task.phase !== TaskPhase.Stopping || task.reportClosed) return
    // The deadline has passed: the task is reported now, but occupies its slot until lease expiry.
    this.settler.report(now, task, unknownAfterDeadline)
  }

  private settleUnknown(now: number, task: TaskRecord, detail: string): void {
    const reason = Reason.ENDPOINT_LOST
    this.settler.settle(now, task, { outcome: Outcome.UNKNOWN, reason, detail })
  }

  /** Closes idle connections: if one request got no response, they may be dead as well. */
  private closeIdleConnections(task: TaskRecord): void {
    const endpoint = task.endpoint?.endpoint
    if (endpoint === undefined || task.requests.length === 0) return
    this.ctx.outbox.push({ kind: OwnerActionKind.CloseIdle, endpoint })
  }

  private fence(task: TaskRecord): void {
    task.phase = TaskPhase.Fencing
    this.closeIdleConnections(task)
    this.ctx.requestStop(task)
  }
}

const unknownAfterDeadline: TaskResult = {
  outcome: Outcome.UNKNOWN,
  reason: Reason.DEADLINE_PASSED,
  detail: 'The deadline passed after it was dispatched, and no answer came.',
}
