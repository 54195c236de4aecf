import { Outcome, Reason } from '@cherryhitch/protocol'
import type { EndpointProbes } from '../endpoints/EndpointProbes'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { EndpointReach } from '../endpoints/EndpointRecord'
import type { TaskEnds } from '../outcomes/TaskEnds'
import { OwnerActionKind } from '../OwnerAction'
import type { OwnerContext } from '../OwnerContext'
import type { TaskRecord } from '../tasks/TaskRecord'
import { TaskPhase } from '../tasks/TaskRecord'
import { CROSSING_MS } from './crossing'
import type { LostTasks } from './LostTasks'

/** A task whose renewals stay without answer this often is left to run out. */
const MAX_UNANSWERED = 3

/** Renews the leases of tasks that run for long, and ends those whose lease or time ran out. @internal */
export class LeaseKeeper {
  constructor(
    private readonly ctx: OwnerContext,
    private readonly ends: TaskEnds,
    private readonly lost: LostTasks,
    private readonly probes: EndpointProbes,
  ) {}

  /** Does what is due at one endpoint. Its running tasks are at most its slots. */
  tend(now: number, record: EndpointRecord): void {
    if (now < record.dueAt) return
    record.dueAt = Infinity
    this.giveUpQuestions(now, record)
    for (const task of [...record.running.values()]) this.tendTask(now, task)
    this.renew(now, record)
    for (const task of record.running.values()) record.due(this.nextDue(now, task))
    if (record.renewAsked !== undefined || record.stopsAsked !== undefined) {
      record.due(now + this.ctx.timing.recheckMs)
    }
  }

  /** The answer to RenewLeases. */
  renewed(
    now: number,
    record: EndpointRecord,
    known: readonly string[] | undefined,
    boot: number | undefined,
  ): void {
    const asked = record.renewAsked
    if (asked === undefined) {
      this.ctx.counters.lateAnswers++
      return
    }
    record.renewAsked = undefined
    record.due(now)
    if (known === undefined) this.probes.suspect(now, record)
    const running = new Set(known)
    for (const taskId of asked) {
      const task = record.running.get(taskId)
      if (task === undefined) continue
      if (known === undefined) this.unanswered(now, record, task)
      else if (running.has(taskId)) this.lost.runs(now, record, task, boot)
      else this.lost.missed(now, task)
    }
  }

  private unanswered(now: number, record: EndpointRecord, task: TaskRecord): void {
    // It may have arrived all the same, so the lease may last till then.
    task.leasedAt = record.renewAskedAt
    task.unansweredRenewals++
    task.recheckAt = now + this.ctx.timing.recheckMs
  }

  private tendTask(now: number, task: TaskRecord): void {
    const last = task.lastChance
    if (last !== undefined && now >= last.until) this.ends.settle(now, task, last.end)
    else if (now >= this.ctx.leaseEnd(task)) this.runOut(now, task)
    else if (now >= task.deadlineAt && !task.muted) this.passDeadline(task)
    else this.lost.tend(now, task)
  }

  private runOut(now: number, task: TaskRecord): void {
    this.ctx.counters.leasesRunOut++
    this.ends.settle(now, task, {
      outcome: Outcome.UNKNOWN,
      reason: Reason.ENDPOINT_LOST,
      detail: 'The endpoint did not answer until the lease of the task ran out.',
      released: false,
    })
  }

  /** It is stopped; what it is reported as depends on what the endpoint says to that. */
  private passDeadline(task: TaskRecord): void {
    // A fence stops it as well.
    const open = task.phase === TaskPhase.Running || task.phase === TaskPhase.Checking
    if (!open || task.lastChance !== undefined) return
    this.ctx.counters.expiredRunning++
    this.ctx.stop(task)
  }

  /** One message for all tasks of the endpoint that are past a third of their lease. */
  private renew(now: number, record: EndpointRecord): void {
    if (record.renewAsked !== undefined || record.reach === EndpointReach.Unreachable) return
    const { leaseMs } = this.ctx.timing
    const wanted = [...record.running.values()].filter((task) => this.mayRenew(now, task))
    if (!wanted.some((task) => isUnclear(now, task) || now - task.leasedAt >= leaseMs / 2)) return
    const old = wanted.filter((task) => isUnclear(now, task) || now - task.leasedAt >= leaseMs / 3)
    const taskIds = old.map((task) => task.taskId)
    record.renewAsked = taskIds
    record.renewAskedAt = now
    this.ctx.counters.renewMessages++
    const { endpoint, address } = record
    this.ctx.outbox.push({ kind: OwnerActionKind.RenewLeases, endpoint, address, taskIds, leaseMs })
  }

  private mayRenew(now: number, task: TaskRecord): boolean {
    if (task.muted || now < task.recheckAt) return false
    if (task.unansweredRenewals >= MAX_UNANSWERED || task.lastChance !== undefined) return false
    return task.phase === TaskPhase.Running || task.phase === TaskPhase.Checking
  }

  private nextDue(now: number, task: TaskRecord): number {
    const { leaseMs } = this.ctx.timing
    let at = this.ctx.leaseEnd(task)
    if (task.lastChance !== undefined) at = Math.min(at, task.lastChance.until)
    if (!task.muted && task.deadlineAt > now) at = Math.min(at, task.deadlineAt)
    let renewAt = task.leasedAt + leaseMs / 2
    if (task.doubtedAt !== undefined) renewAt = Math.min(renewAt, task.doubtedAt + CROSSING_MS)
    renewAt = Math.max(renewAt, task.recheckAt)
    if (task.phase === TaskPhase.Running) return Math.min(at, renewAt)
    return Math.min(at, Math.max(task.recheckAt, now))
  }

  /** A shell that never answers must not block the endpoint for good. */
  private giveUpQuestions(now: number, record: EndpointRecord): void {
    const { askTimeoutMs } = this.ctx.timing
    if (record.renewAsked !== undefined && now - record.renewAskedAt >= askTimeoutMs) {
      this.renewed(now, record, undefined, undefined)
    }
    if (record.stopsAsked !== undefined && now - record.stopsAskedAt >= askTimeoutMs) {
      this.lost.stopsEnded(now, record, [], undefined)
    }
  }
}

/** Whether it has to be asked for at once whether the task runs. */
function isUnclear(now: number, task: TaskRecord): boolean {
  if (task.phase === TaskPhase.Checking) return true
  return task.doubtedAt !== undefined && now - task.doubtedAt >= CROSSING_MS
}
