import type { TaskRecord } from './TaskRecord'
import { TaskPhase } from './TaskRecord'

interface DelayedTask {
  readonly at: number
  readonly task: TaskRecord
}

/** Tasks that await a delayed retry: a binary min-heap ordered by due time. @internal */
export class DelayedTasks {
  private readonly heap: DelayedTask[] = []

  get size(): number {
    return this.heap.length
  }

  push(at: number, task: TaskRecord): void {
    this.heap.push({ at, task })
    this.siftUp(this.heap.length - 1)
  }

  /** Removes and returns a due task; tasks cancelled in the meantime are discarded. */
  popDue(now: number): TaskRecord | undefined {
    for (;;) {
      const first = this.heap[0]
      if (first === undefined || first.at > now) return undefined
      this.removeFirst()
      if (first.task.phase === TaskPhase.Delayed && !first.task.reportClosed) return first.task
    }
  }

  private removeFirst(): void {
    const last = this.heap.pop()
    if (last === undefined || this.heap.length === 0) return
    this.heap[0] = last
    this.siftDown(0)
  }

  private siftUp(start: number): void {
    let child = start
    while (child > 0) {
      const parent = (child - 1) >> 1
      if (this.at(parent) <= this.at(child)) return
      this.swap(parent, child)
      child = parent
    }
  }

  private siftDown(start: number): void {
    let parent = start
    for (;;) {
      const left = 2 * parent + 1
      const right = left + 1
      const smaller = this.at(right) < this.at(left) ? right : left
      if (this.at(smaller) >= this.at(parent)) return
      this.swap(parent, smaller)
      parent = smaller
    }
  }

  private at(position: number): number {
    return this.heap[position]?.at ?? Infinity
  }

  private swap(one: number, other: number): void {
    const a = this.heap[one]
    const b = this.heap[other]
    if (a === undefined || b === undefined) return
    this.heap[one] = b
    this.heap[other] = a
  }
}
