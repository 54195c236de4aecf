import { create } from '@bufbuild/protobuf'
import { Outcome, Reason, TaskReportSchema } from '@cherryhitch/protocol'
import type { TaskReport } from '@cherryhitch/protocol'
import { OwnerActionKind } from '../OwnerAction'
import type { OwnerContext } from '../OwnerContext'
import { runSpan } from '../spans/taskSpans'
import { JobSpread } from '../tasks/JobSpread'
import type { TaskRecord } from '../tasks/TaskRecord'
import type { TaskResult } from './TaskResult'

/** Settles tasks: sends the report, records the end, frees the slot, updates counters. @internal */
export class TaskSettler {
  constructor(private readonly ctx: OwnerContext) {}

  /** Ends a task: reports it, unless its report is closed, and frees what it holds. */
  settle(now: number, task: TaskRecord, result: TaskResult): void {
    if (!task.reportClosed) this.report(now, task, result)
    this.removeTask(now, task, result)
  }

  /** Reports a task that still occupies its slot, until it is stopped or its lease expires. */
  report(now: number, task: TaskRecord, result: TaskResult): void {
    const report = makeReport(now, task, result)
    this.closeReport(now, task, result, report)
    this.ctx.outbox.report(task.job.coordinator, task.jobId, report)
    this.countOutcome(result.outcome)
  }

  /** Ends a task without sending a report; the report is kept in case it is requested later. */
  closeWithoutReport(now: number, task: TaskRecord, result: TaskResult): void {
    this.closeReport(now, task, result, makeReport(now, task, result))
  }

  /** Frees the slot, resources and open requests of a task, which stays registered. */
  release(now: number, task: TaskRecord, ok: boolean): void {
    const record = task.endpoint
    if (record === undefined) return
    const span = runSpan(now, task, ok)
    if (span !== undefined) this.ctx.outbox.push({ kind: OwnerActionKind.Span, span })
    record.vacate(task)
    for (const run of task.requests) this.dropRun(task, run)
    task.requests = []
    task.endpoint = undefined
    removeFromJobSpread(task, record.endpoint)
    if (!record.owned) this.recordReleasedSlot(record.endpoint, task.taskId)
    this.ctx.refresh(record)
  }

  private removeTask(now: number, task: TaskRecord, result: TaskResult): void {
    const record = task.endpoint
    this.release(now, task, result.outcome === Outcome.SUCCEEDED)
    this.ctx.registry.remove(task)
    if (record === undefined) return
    const entry = this.ctx.history.get(task.taskId)
    if (entry !== undefined) entry.released = result.released ?? true
  }

  private closeReport(now: number, task: TaskRecord, result: TaskResult, report: TaskReport): void {
    task.reportClosed = true
    this.updateJobProgress(task, result)
    this.ctx.history.record({
      taskId: task.taskId,
      at: now,
      attempt: task.attempt,
      notRun: result.outcome === Outcome.NOT_RUN,
      coordinator: task.job.coordinator,
      report,
      released: false,
      passedTo: undefined,
    })
  }

  /** Updates the job's remaining tasks, as the queue prefers jobs that are nearly complete. */
  private updateJobProgress(task: TaskRecord, result: TaskResult): void {
    const job = task.job
    if (result.outcome !== Outcome.SUCCEEDED || job.remaining <= 1) return
    job.remaining--
    this.ctx.pools.get(task.service)?.queue.noteProgress(job.jobId, job.remaining)
  }

  private dropRun(task: TaskRecord, run: number): void {
    const endpoint = task.endpoint?.endpoint
    if (endpoint === undefined) return
    this.ctx.outbox.push({ kind: OwnerActionKind.DropRun, endpoint, taskId: task.taskId, run })
  }

  private recordReleasedSlot(endpoint: string, taskId: string): void {
    const ids = this.ctx.releasedSlots.get(endpoint)
    if (ids === undefined) this.ctx.releasedSlots.set(endpoint, [taskId])
    else ids.push(taskId)
  }

  private countOutcome(outcome: Outcome): void {
    const counters = this.ctx.counters
    if (outcome === Outcome.SUCCEEDED) counters.succeeded++
    else if (outcome === Outcome.FAILED) counters.failed++
    else if (outcome === Outcome.NOT_RUN) counters.notRun++
    else counters.unknown++
  }
}

function makeReport(now: number, task: TaskRecord, result: TaskResult): TaskReport {
  const record = task.endpoint
  const startedAt = record === undefined ? now : task.dispatchedAt
  return create(TaskReportSchema, {
    index: task.index,
    outcome: result.outcome,
    reason: result.reason ?? Reason.UNSPECIFIED,
    output: result.output ?? '',
    detail: result.detail ?? '',
    endpoint: record?.endpoint ?? '',
    rack: record?.candidate.rack ?? '',
    queuedMs: Math.max(0, startedAt - task.enqueuedAt),
    runMs: result.runMs ?? 0,
    retryAfterMs: result.retryAfterMs ?? 0,
  })
}

/** Counts a running task towards its job's spread, if the job has several left. @internal */
export function addToJobSpread(task: TaskRecord, endpoint: string, rack: string): void {
  const { job } = task
  if (job.remaining <= 1) return
  job.spread ??= new JobSpread()
  job.spread.add(endpoint, rack)
  task.countedRack = rack
}

function removeFromJobSpread(task: TaskRecord, endpoint: string): void {
  if (task.countedRack === undefined) return
  task.job.spread?.remove(endpoint, task.countedRack)
  task.countedRack = undefined
}
