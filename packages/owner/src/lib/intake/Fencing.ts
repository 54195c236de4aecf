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
import type { RememberedTask } from '../tasks/TaskMemory'

/** Says what became of tasks, and fences those that were never seen. @internal */
export class Fencing {
  constructor(private readonly ctx: OwnerContext) {}

  fence(now: number, from: string, fence: FenceTasks): void {
    // An owner that passed tasks on passes this on too; the answer goes to who asked first.
    const asker = parseJobId(fence.jobId)?.coordinator ?? from
    const reports: FenceReport[] = []
    const elsewhere = new Map<string, number[]>()
    for (const index of fence.indexes) {
      const known = this.ctx.memory.get(formatTaskId(fence.jobId, index))
      if (known?.passedTo !== undefined) {
        // The coordinator was told by each new owner; a question goes one owner further at most.
        if (from !== asker) continue
        elsewhere.set(known.passedTo, [...(elsewhere.get(known.passedTo) ?? []), index])
      } else {
        const state = this.fenceTask(now, asker, fence.jobId, index)
        reports.push(create(FenceReportSchema, { index, state }))
      }
    }
    if (reports.length > 0) {
      const value = { jobId: fence.jobId, reports }
      this.ctx.outbox.send(asker, { case: 'fenceReports', value })
    }
    for (const [owner, indexes] of elsewhere) {
      this.ctx.outbox.send(owner, { case: 'fenceTasks', value: { jobId: fence.jobId, indexes } })
    }
  }

  private fenceTask(now: number, asker: string, jobId: string, index: number): FenceState {
    const taskId = formatTaskId(jobId, index)
    const task = this.ctx.book.get(taskId)
    if (task !== undefined && !task.muted) return FenceState.IN_PROGRESS
    const known = this.ctx.memory.get(taskId)
    if (known === undefined) {
      this.ctx.memory.remember(fencedEntry(now, taskId, asker))
      return FenceState.NEVER_SEEN
    }
    if (known.attempt === Infinity) return FenceState.NEVER_SEEN
    this.reportAgain(asker, jobId, index, known)
    return FenceState.ENDED
  }

  private reportAgain(asker: string, jobId: string, index: number, known: RememberedTask): void {
    const report =
      known.report ??
      create(TaskReportSchema, {
        index,
        outcome: known.notRun ? Outcome.NOT_RUN : Outcome.UNKNOWN,
        reason: Reason.ENDPOINT_LOST,
        detail: 'It ended, and its answer is not kept any more.',
      })
    this.ctx.outbox.report(asker, jobId, report)
  }
}

function fencedEntry(now: number, taskId: string, coordinator: string): RememberedTask {
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
