import type { Resources } from '@cherryhitch/protocol'

/** Attributes of a task that the order of a queue may depend on. @public */
export interface QueuedTask {
  readonly taskId: string
  readonly jobId: string
  readonly caller: string
  readonly service: string
  /** Instant of the deadline, in milliseconds of the local clock. */
  readonly deadlineAt: number
  readonly enqueuedAt: number
  /** Estimated run time in milliseconds. */
  readonly estimateMs: number
  /** Number of the job's tasks that had no result when this task was placed. */
  readonly jobRemaining: number
  readonly resources: Resources | undefined
  readonly attempt: number
}

/** The waiting tasks of one service at their owner. @public */
export abstract class TaskQueue<T extends QueuedTask> {
  abstract readonly size: number
  /** Sum of the estimates of all waiting tasks, in milliseconds. */
  abstract readonly queuedWorkMs: number
  abstract push(now: number, task: T): void
  /** Removes and returns the first task, in this queue's order, that `fits` accepts. */
  abstract pop(now: number, fits: (task: T) => boolean): T | undefined
  abstract remove(taskId: string): T | undefined
  /** Removes and returns all tasks of a job. */
  abstract removeJob(jobId: string): readonly T[]
  /** Removes and returns the tasks whose deadline has passed. */
  abstract removeExpired(now: number): readonly T[]
  /** Updates the number of a job's tasks without a result, as far as the owner knows it. */
  abstract noteProgress(jobId: string, remaining: number): void
  /** Number of waiting tasks of a caller. */
  abstract sizeOf(caller: string): number
  abstract has(taskId: string): boolean
  /** All waiting tasks, in no particular order. */
  abstract tasks(): Iterable<T>
}
