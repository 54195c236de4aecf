import { parseJobId } from '@cherryhitch/model'
import type { CancelledJob, CancelTasks } from '@cherryhitch/protocol'
import { Outcome, Reason } from '@cherryhitch/protocol'
import type { TaskEnds } from '../outcomes/TaskEnds'
import type { OwnerContext } from '../OwnerContext'
import type { JobRecord, TaskRecord } from '../tasks/TaskRecord'
import { TaskPhase } from '../tasks/TaskRecord'

/** Drops queued tasks and stops running ones that nobody waits for. @internal */
export class Cancellation {
  constructor(
    private readonly ctx: OwnerContext,
    private readonly ends: TaskEnds,
  ) {}

  cancel(now: number, from: string, cancel: CancelTasks): void {
    const elsewhere = new Map<string, CancelledJob[]>()
    for (const cancelled of cancel.jobs) {
      this.cancelJob(now, cancelled)
      // Only what comes from the coordinator itself goes one owner further, never in circles.
      if (parseJobId(cancelled.jobId)?.coordinator !== from) continue
      for (const owner of this.ctx.memory.passedTo(cancelled.jobId)) {
        const jobs = elsewhere.get(owner)
        if (jobs === undefined) elsewhere.set(owner, [cancelled])
        else jobs.push(cancelled)
      }
    }
    for (const [owner, jobs] of elsewhere) {
      this.ctx.outbox.send(owner, { case: 'cancelTasks', value: { jobs } })
    }
  }

  /** The coordinator is gone for good, and with it whoever waited for the job. */
  abandon(now: number, job: JobRecord): void {
    for (const task of [...job.tasks.values()]) {
      this.cancelTask(now, task, Reason.COORDINATOR_LOST)
    }
  }

  private cancelJob(now: number, cancelled: CancelledJob): void {
    const whole = cancelled.indexes.length === 0
    if (whole) this.ctx.memory.rememberCancelledJob(now, cancelled.jobId)
    const job = this.ctx.book.job(cancelled.jobId)
    if (job === undefined) return
    const indexes = whole ? [...job.tasks.keys()] : cancelled.indexes
    for (const index of indexes) {
      const task = job.tasks.get(index)
      if (task !== undefined) this.cancelTask(now, task, cancelled.reason)
    }
  }

  private cancelTask(now: number, task: TaskRecord, reason: Reason): void {
    if (task.muted) return
    const waiting = task.phase === TaskPhase.Queued || task.phase === TaskPhase.Delayed
    if (waiting) this.dropWaiting(now, task, reason)
    else this.stopRunning(now, task, reason)
  }

  private dropWaiting(now: number, task: TaskRecord, reason: Reason): void {
    this.ctx.counters.cancelledQueued++
    const lane = this.ctx.lane(task.service)
    if (task.phase === TaskPhase.Delayed) lane.delayed--
    else lane.queue.remove(task.taskId)
    const end = { outcome: Outcome.NOT_RUN, reason, detail: 'It was cancelled while queued.' }
    this.ends.muteAs(now, task, end)
    this.ends.settle(now, task, end)
  }

  private stopRunning(now: number, task: TaskRecord, reason: Reason): void {
    this.ctx.counters.cancelledRunning++
    const detail = 'It was cancelled after it was dispatched.'
    this.ends.muteAs(now, task, { outcome: Outcome.UNKNOWN, reason, detail })
    this.ctx.stop(task)
  }
}
