import type { HeapItem } from '../util/IndexedHeap'
import type { LaneGroup } from './LaneGroup'
import type { QueuedTask } from './TaskQueue'
import type { WaitingJob } from './WaitingJob'

/** The waiting tasks of one job that request the same resources, longest first. @internal */
export class JobLane<T extends QueuedTask> implements HeapItem {
  heapIndex = -1
  heapKey = 0
  /** Shortest first, so that the next task is popped from the end. */
  private readonly tasks: T[] = []

  constructor(
    readonly job: WaitingJob<T>,
    readonly group: LaneGroup<T>,
  ) {}

  get isEmpty(): boolean {
    return this.tasks.length === 0
  }

  get next(): T | undefined {
    return this.tasks.at(-1)
  }

  add(task: T): void {
    let low = 0
    let high = this.tasks.length
    // Inserts a task before those of equal length, so that these are popped in order of arrival.
    while (low < high) {
      const middle = (low + high) >> 1
      const other = this.tasks[middle]
      if (other !== undefined && other.estimateMs < task.estimateMs) low = middle + 1
      else high = middle
    }
    this.tasks.splice(low, 0, task)
  }

  remove(task: T): void {
    if (this.next === task) this.tasks.pop()
    else this.tasks.splice(this.tasks.indexOf(task), 1)
  }
}
