import { IndexedHeap } from '../util/IndexedHeap'
import type { HeapItem } from '../util/IndexedHeap'
import type { JobLane } from './JobLane'
import type { QueuedTask } from './TaskQueue'

/** The lanes of all jobs that request the same resources, in order of rank. @internal */
export class LaneGroup<T extends QueuedTask> implements HeapItem {
  heapIndex = -1
  heapKey = Infinity
  readonly lanes = new IndexedHeap<JobLane<T>>()

  constructor(readonly resources: string) {}

  /** Updates the group's own key, by which groups are ordered, to that of its first lane. */
  refreshKey(): void {
    this.heapKey = this.lanes.peek()?.heapKey ?? Infinity
  }
}
