import { Outcome, Reason } from '@cherryhitch/protocol'
import type { EndpointProbes } from '../endpoints/EndpointProbes'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { EndpointReach } from '../endpoints/EndpointRecord'
import type { TaskSettler } from '../outcomes/TaskSettler'
import { OwnerActionKind } from '../OwnerAction'
import type { OwnerContext } from '../OwnerContext'
import type { TaskRecord } from '../tasks/TaskRecord'
import { TaskPhase } from '../tasks/TaskRecord'
import { IN_FLIGHT_GRACE_MS } from './inFlightGrace'
import type { LostTaskRecovery } from './LostTaskRecovery'

/** After this many unanswered renewals in a row, the lease of a task is left to expire. */
const MAX_UNANSWERED_RENEWALS = 3

/** Renews leases of long-running tasks, and ends tasks at lease expiry or deadline. @internal */
export class LeaseManager {
  constructor(
    private readonly ctx: OwnerContext,
    private readonly settler: TaskSettler,
    private readonly recovery: LostTaskRecovery,
    private readonly probes: EndpointProbes,
  ) {}

  /** Runs the checks that are due at one endpoint. It has at most one running task per slot. */
  runDueChecks(now: number, record: EndpointRecord): void {
    if (now < record.nextCheckAt) return
    record.nextCheckAt = Infinity
    this.timeOutPendingRequests(now, record)
    for (const task of [...record.running.values()]) this.checkTask(now, task)
    this.renew(now, record)
    for (const task of record.running.values()) record.scheduleCheck(this.nextCheckAt(now, task))
    if (record.renewalInFlight !== undefined || record.stopsInFlight !== undefined) {
      record.scheduleCheck(now + this.ctx.timing.recheckMs)
    }
  }

  /** Handles the answer to RenewLeases; `knownTaskIds` is undefined if the endpoint did not answer. */
  handleRenewal(
    now: number,
    record: EndpointRecord,
    knownTaskIds: readonly string[] | undefined,
    boot: number | undefined,
  ): void {
    const taskIds = record.renewalInFlight
    if (taskIds === undefined) {
      this.ctx.counters.lateAnswers++
      return
    }
    record.renewalInFlight = undefined
    record.scheduleCheck(now)
    if (knownTaskIds === undefined) this.probes.suspect(now, record)
    const running = new Set(knownTaskIds)
    for (const taskId of taskIds) {
      const task = record.running.get(taskId)
      if (task === undefined) continue
      if (knownTaskIds === undefined) this.recordUnansweredRenewal(now, record, task)
      else if (running.has(taskId)) this.recovery.confirmRunning(now, record, task, boot)
      else this.recovery.handleNotRunning(now, task)
    }
  }

  private recordUnansweredRenewal(now: number, record: EndpointRecord, task: TaskRecord): void {
    // The renewal may have arrived, so the lease is counted from when it was sent.
    task.leasedAt = record.renewalSentAt
    task.unansweredRenewals++
    task.recheckAt = now + this.ctx.timing.recheckMs
  }

  private checkTask(now: number, task: TaskRecord): void {
    const fallback = task.fallbackEnd
    if (fallback !== undefined && now >= fallback.until)
      this.settler.settle(now, task, fallback.result)
    else if (now >= this.ctx.leaseEnd(task)) this.expireLease(now, task)
    else if (now >= task.deadlineAt && !task.reportClosed) this.stopAtDeadline(task)
    else this.recovery.checkTask(now, task)
  }

  private expireLease(now: number, task: TaskRecord): void {
    this.ctx.counters.leasesRunOut++
    this.settler.settle(now, task, {
      outcome: Outcome.UNKNOWN,
      reason: Reason.ENDPOINT_LOST,
      detail: 'The endpoint did not answer until the lease of the task ran out.',
      released: false,
    })
  }

  /** Stops a task at its deadline; the endpoint's answer decides which outcome is reported. */
  private stopAtDeadline(task: TaskRecord): void {
    // A fence also stops the task at its endpoint, so no separate stop is needed.
    const open = task.phase === TaskPhase.Running || task.phase === TaskPhase.Checking
    if (!open || task.fallbackEnd !== undefined) return
    this.ctx.counters.expiredRunning++
    this.ctx.stop(task)
  }

  /**
   * Sends one renewal per endpoint. It is due once a task is past half of its lease or needs an
   * immediate check, and then includes all tasks past a third of their lease.
   */
  private renew(now: number, record: EndpointRecord): void {
    if (record.renewalInFlight !== undefined || record.reach === EndpointReach.Unreachable) return
    const { leaseMs } = this.ctx.timing
    const wanted = [...record.running.values()].filter((task) => this.isRenewable(now, task))
    if (
      !wanted.some((task) => needsImmediateCheck(now, task) || now - task.leasedAt >= leaseMs / 2)
    )
      return
    const old = wanted.filter(
      (task) => needsImmediateCheck(now, task) || now - task.leasedAt >= leaseMs / 3,
    )
    const taskIds = old.map((task) => task.taskId)
    record.renewalInFlight = taskIds
    record.renewalSentAt = now
    this.ctx.counters.renewMessages++
    const { endpoint, address } = record
    this.ctx.outbox.push({ kind: OwnerActionKind.RenewLeases, endpoint, address, taskIds, leaseMs })
  }

  private isRenewable(now: number, task: TaskRecord): boolean {
    if (task.reportClosed || now < task.recheckAt) return false
    if (task.unansweredRenewals >= MAX_UNANSWERED_RENEWALS || task.fallbackEnd !== undefined)
      return false
    return task.phase === TaskPhase.Running || task.phase === TaskPhase.Checking
  }

  private nextCheckAt(now: number, task: TaskRecord): number {
    const { leaseMs } = this.ctx.timing
    let at = this.ctx.leaseEnd(task)
    if (task.fallbackEnd !== undefined) at = Math.min(at, task.fallbackEnd.until)
    if (!task.reportClosed && task.deadlineAt > now) at = Math.min(at, task.deadlineAt)
    let renewAt = task.leasedAt + leaseMs / 2
    if (task.missingFromHeartbeatAt !== undefined)
      renewAt = Math.min(renewAt, task.missingFromHeartbeatAt + IN_FLIGHT_GRACE_MS)
    renewAt = Math.max(renewAt, task.recheckAt)
    if (task.phase === TaskPhase.Running) return Math.min(at, renewAt)
    return Math.min(at, Math.max(task.recheckAt, now))
  }

  /** Treats requests without an answer event as failed, so that they can't block the endpoint. */
  private timeOutPendingRequests(now: number, record: EndpointRecord): void {
    const { controlTimeoutMs } = this.ctx.timing
    if (record.renewalInFlight !== undefined && now - record.renewalSentAt >= controlTimeoutMs) {
      this.handleRenewal(now, record, undefined, undefined)
    }
    if (record.stopsInFlight !== undefined && now - record.stopsSentAt >= controlTimeoutMs) {
      this.recovery.handleStopResults(now, record, [], undefined)
    }
  }
}

/** Whether the endpoint must be asked at once whether the task runs. */
function needsImmediateCheck(now: number, task: TaskRecord): boolean {
  if (task.phase === TaskPhase.Checking) return true
  return (
    task.missingFromHeartbeatAt !== undefined &&
    now - task.missingFromHeartbeatAt >= IN_FLIGHT_GRACE_MS
  )
}
