import { formatTaskId, parseJobId } from '@cherryhitch/model'
import { create } from '@bufbuild/protobuf'
import type { FenceReport, FenceTasks } from '@cherryhitch/protocol'
import {
  FenceReportSchema,
  FenceState,
  Outcome,
  Reason,
  TaskReportSchema,
} from '@cherryhitch/protocol'
import type { OwnerContext } from '../OwnerContext'
import type { TaskHistoryEntry } from '../tasks/TaskHistory'

/** Reports the state of tasks on request, and fences those that were never seen. @internal */
export class Fencing {
  constructor(private readonly ctx: OwnerContext) {}

  fence(now: number, from: string, fence: FenceTasks): void {
    // An owner that forwarded tasks forwards this request too; the coordinator gets the answer.
    const requester = parseJobId(fence.jobId)?.coordinator ?? from
    const reports: FenceReport[] = []
    const forwarded = new Map<string, number[]>()
    for (const index of fence.indexes) {
      const entry = this.ctx.history.get(formatTaskId(fence.jobId, index))
      if (entry?.passedTo !== undefined) {
        // Each new owner reported itself to the coordinator, so a request is forwarded only once.
        if (from !== requester) continue
        forwarded.set(entry.passedTo, [...(forwarded.get(entry.passedTo) ?? []), index])
      } else {
        const state = this.fenceTask(now, requester, fence.jobId, index)
        reports.push(create(FenceReportSchema, { index, state }))
      }
    }
    if (reports.length > 0) {
      const value = { jobId: fence.jobId, reports }
      this.ctx.outbox.send(requester, { case: 'fenceReports', value })
    }
    for (const [owner, indexes] of forwarded) {
      this.ctx.outbox.send(owner, { case: 'fenceTasks', value: { jobId: fence.jobId, indexes } })
    }
  }

  private fenceTask(now: number, requester: string, jobId: string, index: number): FenceState {
    const taskId = formatTaskId(jobId, index)
    const task = this.ctx.registry.get(taskId)
    if (task !== undefined && !task.reportClosed) return FenceState.IN_PROGRESS
    const entry = this.ctx.history.get(taskId)
    if (entry === undefined) {
      this.ctx.history.record(makeFencedTask(now, taskId, requester))
      return FenceState.NEVER_SEEN
    }
    if (entry.attempt === Infinity) return FenceState.NEVER_SEEN
    this.resendReport(requester, jobId, index, entry)
    return FenceState.ENDED
  }

  private resendReport(
    requester: string,
    jobId: string,
    index: number,
    entry: TaskHistoryEntry,
  ): void {
    const report =
      entry.report ??
      create(TaskReportSchema, {
        index,
        outcome: entry.notRun ? Outcome.NOT_RUN : Outcome.UNKNOWN,
        reason: Reason.ENDPOINT_LOST,
        detail: 'It ended, and its answer is not kept any more.',
      })
    this.ctx.outbox.report(requester, jobId, report)
  }
}

function makeFencedTask(now: number, taskId: string, coordinator: string): TaskHistoryEntry {
  return {
    taskId,
    at: now,
    attempt: Infinity,
    notRun: true,
    coordinator,
    report: undefined,
    // Another owner may have dispatched it.
    released: false,
    passedTo: undefined,
  }
}
