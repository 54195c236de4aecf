import { parseJobId } from '@cherryhitch/model'
import type { CancelledJob, CancelTasks } from '@cherryhitch/protocol'
import { Outcome, Reason } from '@cherryhitch/protocol'
import type { TaskSettler } from '../outcomes/TaskSettler'
import type { OwnerContext } from '../OwnerContext'
import type { JobRecord, TaskRecord } from '../tasks/TaskRecord'
import { TaskPhase } from '../tasks/TaskRecord'

/** Cancels queued and running tasks whose result is no longer needed. @internal */
export class Cancellation {
  constructor(
    private readonly ctx: OwnerContext,
    private readonly settler: TaskSettler,
  ) {}

  cancel(now: number, from: string, cancel: CancelTasks): void {
    const forwarded = new Map<string, CancelledJob[]>()
    for (const cancelled of cancel.jobs) {
      this.cancelJob(now, cancelled)
      // Only a message from the coordinator itself is forwarded, so that none can loop.
      if (parseJobId(cancelled.jobId)?.coordinator !== from) continue
      for (const owner of this.ctx.history.passedTo(cancelled.jobId)) {
        const jobs = forwarded.get(owner)
        if (jobs === undefined) forwarded.set(owner, [cancelled])
        else jobs.push(cancelled)
      }
    }
    for (const [owner, jobs] of forwarded) {
      this.ctx.outbox.send(owner, { case: 'cancelTasks', value: { jobs } })
    }
  }

  /** Cancels a job whose coordinator is lost, so that nobody waits for its result. */
  cancelOrphanedJob(now: number, job: JobRecord): void {
    for (const task of [...job.tasks.values()]) {
      this.cancelTask(now, task, Reason.COORDINATOR_LOST)
    }
  }

  private cancelJob(now: number, cancelled: CancelledJob): void {
    const isWholeJob = cancelled.indexes.length === 0
    if (isWholeJob) this.ctx.history.recordCancelledJob(now, cancelled.jobId)
    const job = this.ctx.registry.job(cancelled.jobId)
    if (job === undefined) return
    const indexes = isWholeJob ? [...job.tasks.keys()] : cancelled.indexes
    for (const index of indexes) {
      const task = job.tasks.get(index)
      if (task !== undefined) this.cancelTask(now, task, cancelled.reason)
    }
  }

  private cancelTask(now: number, task: TaskRecord, reason: Reason): void {
    if (task.reportClosed) return
    const waiting = task.phase === TaskPhase.Queued || task.phase === TaskPhase.Delayed
    if (waiting) this.cancelWaiting(now, task, reason)
    else this.cancelRunning(now, task, reason)
  }

  private cancelWaiting(now: number, task: TaskRecord, reason: Reason): void {
    this.ctx.counters.cancelledQueued++
    const pool = this.ctx.poolOf(task.service)
    if (task.phase === TaskPhase.Delayed) pool.delayedTasks--
    else pool.queue.remove(task.taskId)
    const result = { outcome: Outcome.NOT_RUN, reason, detail: 'It was cancelled while queued.' }
    this.settler.closeWithoutReport(now, task, result)
    this.settler.settle(now, task, result)
  }

  private cancelRunning(now: number, task: TaskRecord, reason: Reason): void {
    this.ctx.counters.cancelledRunning++
    const detail = 'It was cancelled after it was dispatched.'
    this.settler.closeWithoutReport(now, task, { outcome: Outcome.UNKNOWN, reason, detail })
    this.ctx.stop(task)
  }
}
