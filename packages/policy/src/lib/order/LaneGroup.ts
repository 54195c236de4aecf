import { IndexedHeap } from '../util/IndexedHeap'
import type { HeapItem } from '../util/IndexedHeap'
import type { JobLane } from './JobLane'
import type { QueuedTask } from './TaskQueue'

/** The lanes of all jobs that ask for the same resources, in order. @internal */
export class LaneGroup<T extends QueuedTask> implements HeapItem {
  heapIndex = -1
  heapKey = Infinity
  readonly lanes = new IndexedHeap<JobLane<T>>()

  constructor(readonly resources: string) {}

  /** Copies the key of the first lane, by which groups are ordered. */
  refreshKey(): void {
    this.heapKey = this.lanes.peek()?.heapKey ?? Infinity
  }
}
