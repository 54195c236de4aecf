import { create } from '@bufbuild/protobuf'
import { Outcome, Reason, TaskReportSchema } from '@cherryhitch/protocol'
import type { TaskReport } from '@cherryhitch/protocol'
import { OwnerActionKind } from '../OwnerAction'
import type { OwnerContext } from '../OwnerContext'
import { runSpan } from '../spans/taskSpans'
import { JobSpread } from '../tasks/JobSpread'
import type { TaskRecord } from '../tasks/TaskRecord'
import type { TaskEnd } from './TaskEnd'

/** Ends tasks: the report, the memory of it, the slot, the counters. @internal */
export class TaskEnds {
  constructor(private readonly ctx: OwnerContext) {}

  /** The task is over: reports it unless that was done, and frees what it holds. */
  settle(now: number, task: TaskRecord, end: TaskEnd): void {
    if (!task.muted) this.report(now, task, end)
    this.forget(now, task, end)
  }

  /** Reports a task that still holds its slot; it is stopped or runs out silently after this. */
  report(now: number, task: TaskRecord, end: TaskEnd): void {
    const report = makeReport(now, task, end)
    this.mute(now, task, end, report)
    this.ctx.outbox.report(task.job.coordinator, task.jobId, report)
    this.count(end.outcome)
  }

  /** No report is wanted; asked for later, this is what became of it. */
  muteAs(now: number, task: TaskRecord, end: TaskEnd): void {
    this.mute(now, task, end, makeReport(now, task, end))
  }

  /** Frees slot, resources and open requests of a task; it stays in the book. */
  release(now: number, task: TaskRecord, ok: boolean): void {
    const record = task.endpoint
    if (record === undefined) return
    const span = runSpan(now, task, ok)
    if (span !== undefined) this.ctx.outbox.push({ kind: OwnerActionKind.Span, span })
    record.vacate(task)
    for (const run of task.requests) this.dropRun(task, run)
    task.requests = []
    task.endpoint = undefined
    uncountAtJob(task, record.endpoint)
    if (!record.owned) this.noteReleased(record.endpoint, task.taskId)
    this.ctx.refresh(record)
  }

  private forget(now: number, task: TaskRecord, end: TaskEnd): void {
    const record = task.endpoint
    this.release(now, task, end.outcome === Outcome.SUCCEEDED)
    this.ctx.book.remove(task)
    if (record === undefined) return
    const entry = this.ctx.memory.get(task.taskId)
    if (entry !== undefined) entry.released = end.released ?? true
  }

  private mute(now: number, task: TaskRecord, end: TaskEnd, report: TaskReport): void {
    task.muted = true
    this.noteProgress(task, end)
    this.ctx.memory.remember({
      taskId: task.taskId,
      at: now,
      attempt: task.attempt,
      notRun: end.outcome === Outcome.NOT_RUN,
      coordinator: task.job.coordinator,
      report,
      released: false,
      passedTo: undefined,
    })
  }

  /** The queue prefers jobs that are nearly done. */
  private noteProgress(task: TaskRecord, end: TaskEnd): void {
    const job = task.job
    if (end.outcome !== Outcome.SUCCEEDED || job.remaining <= 1) return
    job.remaining--
    this.ctx.lanes.get(task.service)?.queue.noteProgress(job.jobId, job.remaining)
  }

  private dropRun(task: TaskRecord, run: number): void {
    const endpoint = task.endpoint?.endpoint
    if (endpoint === undefined) return
    this.ctx.outbox.push({ kind: OwnerActionKind.DropRun, endpoint, taskId: task.taskId, run })
  }

  private noteReleased(endpoint: string, taskId: string): void {
    const ids = this.ctx.releasedSlots.get(endpoint)
    if (ids === undefined) this.ctx.releasedSlots.set(endpoint, [taskId])
    else ids.push(taskId)
  }

  private count(outcome: Outcome): void {
    const counters = this.ctx.counters
    if (outcome === Outcome.SUCCEEDED) counters.succeeded++
    else if (outcome === Outcome.FAILED) counters.failed++
    else if (outcome === Outcome.NOT_RUN) counters.notRun++
    else counters.unknown++
  }
}

function makeReport(now: number, task: TaskRecord, end: TaskEnd): TaskReport {
  const record = task.endpoint
  const startedAt = record === undefined ? now : task.dispatchedAt
  return create(TaskReportSchema, {
    index: task.index,
    outcome: end.outcome,
    reason: end.reason ?? Reason.UNSPECIFIED,
    output: end.output ?? '',
    detail: end.detail ?? '',
    endpoint: record?.endpoint ?? '',
    rack: record?.candidate.rack ?? '',
    queuedMs: Math.max(0, startedAt - task.enqueuedAt),
    runMs: end.runMs ?? 0,
    retryAfterMs: end.retryAfterMs ?? 0,
  })
}

/** Counts a running task of a job with several at its endpoint and rack. @internal */
export function countAtJob(task: TaskRecord, endpoint: string, rack: string): void {
  const { job } = task
  if (job.remaining <= 1) return
  job.spread ??= new JobSpread()
  job.spread.add(endpoint, rack)
  task.countedRack = rack
}

function uncountAtJob(task: TaskRecord, endpoint: string): void {
  if (task.countedRack === undefined) return
  task.job.spread?.remove(endpoint, task.countedRack)
  task.countedRack = undefined
}
