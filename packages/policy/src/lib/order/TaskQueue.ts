import type { Resources } from '@cherryhitch/protocol'

/** What the order of a queue may depend on. @public */
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
  /** Tasks of the whole job without a result, when it was placed. */
  readonly jobRemaining: number
  readonly resources: Resources | undefined
  readonly attempt: number
}

/** Tasks of one service that wait at their owner. @public */
export abstract class TaskQueue<T extends QueuedTask> {
  abstract readonly size: number
  /** Sum of the estimates of all waiting tasks, in milliseconds. */
  abstract readonly queuedWorkMs: number
  abstract push(now: number, task: T): void
  /** Takes out the first task, in this queue's order, that `fits` accepts. */
  abstract pop(now: number, fits: (task: T) => boolean): T | undefined
  abstract remove(taskId: string): T | undefined
  /** Takes out all tasks of a job. */
  abstract removeJob(jobId: string): readonly T[]
  /** Takes out the tasks whose deadline has passed. */
  abstract removeExpired(now: number): readonly T[]
  /** Tells how many tasks of a job still lack a result, where the owner learns it. */
  abstract noteProgress(jobId: string, remaining: number): void
  abstract sizeOf(caller: string): number
  abstract has(taskId: string): boolean
  /** All waiting tasks, in no particular order. */
  abstract tasks(): Iterable<T>
}
