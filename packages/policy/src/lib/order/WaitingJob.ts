import type { JobLane } from './JobLane'
import type { QueuedTask } from './TaskQueue'

/** State of one job with waiting tasks in a queue. @internal */
export class WaitingJob<T extends QueuedTask> {
  readonly lanes = new Map<string, JobLane<T>>()
  readonly waiting = new Set<T>()
  /** Earliest arrival among the tasks added so far. */
  enqueuedAt = Infinity
  deadlineAt = Infinity
  longestMs = 0
  workMs = 0
  /** Tasks of the whole job that have not started, as far as this queue knows. */
  unstarted = 0
  /** Delay of the due time, in milliseconds, for a caller that exceeded its fair share. */
  penaltyMs = 0
  /** Whether the job can no longer meet its deadline. */
  isInfeasible = false

  constructor(
    readonly jobId: string,
    readonly caller: string,
  ) {}

  /** Work of the whole job that has not started, extrapolated from the tasks waiting here. */
  get unstartedWorkMs(): number {
    if (this.waiting.size === 0) return 0
    const meanMs = this.workMs / this.waiting.size
    return meanMs * Math.max(this.unstarted, this.waiting.size)
  }

  add(task: T): void {
    if (this.waiting.size === 0) this.unstarted = task.jobRemaining
    this.waiting.add(task)
    this.workMs += task.estimateMs
    this.enqueuedAt = Math.min(this.enqueuedAt, task.enqueuedAt)
    this.deadlineAt = Math.min(this.deadlineAt, task.deadlineAt)
    this.longestMs = Math.max(this.longestMs, task.estimateMs)
  }

  remove(task: T): void {
    this.waiting.delete(task)
    this.workMs -= task.estimateMs
    this.unstarted -= 1
  }
}
