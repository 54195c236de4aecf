import type { JobLane } from './JobLane'
import type { QueuedTask } from './TaskQueue'

/** What a queue knows of one job with waiting tasks. @internal */
export class WaitingJob<T extends QueuedTask> {
  readonly lanes = new Map<string, JobLane<T>>()
  readonly waiting = new Set<T>()
  /** Earliest of its waiting tasks' instants. */
  enqueuedAt = Infinity
  deadlineAt = Infinity
  longestMs = 0
  workMs = 0
  /** Tasks of the whole job that were not started, as far as this queue knows. */
  unstarted = 0
  /** Added to its rank, in milliseconds, where its caller had more than a fair share. */
  penaltyMs = 0
  /** It can no longer meet its deadline. */
  isHopeless = false

  constructor(
    readonly jobId: string,
    readonly caller: string,
  ) {}

  /** Work of the whole job that was not started, estimated from the part that waits here. */
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

  take(task: T): void {
    this.waiting.delete(task)
    this.workMs -= task.estimateMs
    this.unstarted -= 1
  }
}
