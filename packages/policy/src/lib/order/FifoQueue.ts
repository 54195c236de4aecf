import { CallerTally } from './CallerTally'
import { TaskQueue } from './TaskQueue'
import type { QueuedTask } from './TaskQueue'

/** Baseline: first come, first served. @public */
export class FifoQueue<T extends QueuedTask> extends TaskQueue<T> {
  private readonly waiting = new Map<string, T>()
  private readonly tally = new CallerTally()

  override get size(): number {
    return this.waiting.size
  }

  override get queuedWorkMs(): number {
    return this.tally.workMs
  }

  override push(_now: number, task: T): void {
    if (this.waiting.has(task.taskId)) return
    this.waiting.set(task.taskId, task)
    this.tally.add(task)
  }

  override pop(_now: number, fits: (task: T) => boolean): T | undefined {
    for (const task of this.waiting.values()) {
      if (fits(task)) return this.remove(task.taskId)
    }
    return undefined
  }

  override remove(taskId: string): T | undefined {
    const task = this.waiting.get(taskId)
    if (task === undefined) return undefined
    this.waiting.delete(taskId)
    this.tally.subtract(task)
    return task
  }

  override removeJob(jobId: string): readonly T[] {
    return this.removeWhere((task) => task.jobId === jobId)
  }

  override removeExpired(now: number): readonly T[] {
    return this.removeWhere((task) => task.deadlineAt <= now)
  }

  override noteProgress(): void {
    // The order depends on arrival only.
  }

  override sizeOf(caller: string): number {
    return this.tally.of(caller).tasks
  }

  override has(taskId: string): boolean {
    return this.waiting.has(taskId)
  }

  override tasks(): Iterable<T> {
    return this.waiting.values()
  }

  private removeWhere(matches: (task: T) => boolean): readonly T[] {
    const matching = [...this.waiting.values()].filter(matches)
    for (const task of matching) this.remove(task.taskId)
    return matching
  }
}
