import type { HeapItem } from '../util/IndexedHeap'
import type { LaneGroup } from './LaneGroup'
import type { QueuedTask } from './TaskQueue'
import type { WaitingJob } from './WaitingJob'

/** The waiting tasks of one job that ask for the same resources, the longest ones first. @internal */
export class JobLane<T extends QueuedTask> implements HeapItem {
  heapIndex = -1
  heapKey = 0
  /** Shortest first, so that the next task is taken from the end. */
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
    // A task goes before its equals, so that equals leave in the order they came.
    while (low < high) {
      const middle = (low + high) >> 1
      const other = this.tasks[middle]
      if (other !== undefined && other.estimateMs < task.estimateMs) low = middle + 1
      else high = middle
    }
    this.tasks.splice(low, 0, task)
  }

  take(task: T): void {
    if (this.next === task) this.tasks.pop()
    else this.tasks.splice(this.tasks.indexOf(task), 1)
  }
}
