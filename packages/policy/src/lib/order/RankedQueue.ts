import { IndexedHeap } from '../util/IndexedHeap'
import { CallerTally } from './CallerTally'
import { JobLane } from './JobLane'
import { LaneGroup } from './LaneGroup'
import { TaskQueue } from './TaskQueue'
import type { QueuedTask } from './TaskQueue'
import { WaitingJob } from './WaitingJob'

/** Jobs tried per group of equal resources before the rest of the group is skipped. */
const PROBES_PER_GROUP = 8

/**
 * A queue that orders jobs by rank and takes tasks from the first job that fits.
 *
 * Push, pop, remove and noteProgress take O(log n). Tasks that request the same resources share a
 * group. When the first few jobs of a group do not fit, the rest of the group is skipped, so that a
 * queue full of tasks that do not fit costs little. `fits` should therefore depend on the resources
 * that a task requests and little else.
 *
 * @public
 */
export abstract class RankedQueue<T extends QueuedTask> extends TaskQueue<T> {
  protected readonly tally = new CallerTally()
  private readonly byId = new Map<string, T>()
  private readonly jobs = new Map<string, WaitingJob<T>>()
  private readonly groups = new Map<string, LaneGroup<T>>()
  private readonly groupOrder = new IndexedHeap<LaneGroup<T>>()
  /** Lower bound of the deadlines of all waiting tasks. */
  private earliestDeadline = Infinity

  override get size(): number {
    return this.byId.size
  }

  override get queuedWorkMs(): number {
    return this.tally.workMs
  }

  /** Sort key of the job; the lowest rank is served first. */
  protected abstract rank(job: WaitingJob<T>): number

  /**
   * Called before the next task of a job is popped.
   *
   * @returns true when the rank of the job changed, so that the queue must be reordered first
   */
  protected abstract adjustRank(now: number, job: WaitingJob<T>): boolean

  /** Called when a job without waiting tasks gets its first one. */
  protected abstract onJobArrival(now: number, job: WaitingJob<T>): void

  override push(now: number, task: T): void {
    if (this.byId.has(task.taskId)) return
    const job = this.jobOf(now, task)
    this.byId.set(task.taskId, task)
    this.tally.add(task)
    this.earliestDeadline = Math.min(this.earliestDeadline, task.deadlineAt)
    job.add(task)
    this.laneOf(job, task).add(task)
    this.reorder(job)
  }

  override pop(now: number, fits: (task: T) => boolean): T | undefined {
    const skipped: LaneGroup<T>[] = []
    let found: T | undefined
    for (let group = this.groupOrder.peek(); group !== undefined; group = this.groupOrder.peek()) {
      const next = group.lanes.peek()
      if (next !== undefined && this.adjustRank(now, next.job)) {
        this.reorder(next.job)
        continue
      }
      found = this.probe(group, fits)
      if (found !== undefined) break
      this.groupOrder.remove(group)
      skipped.push(group)
    }
    for (const group of skipped) this.groupOrder.push(group)
    return found === undefined ? undefined : this.remove(found.taskId)
  }

  override remove(taskId: string): T | undefined {
    const task = this.byId.get(taskId)
    const job = task && this.jobs.get(task.jobId)
    if (task === undefined || job === undefined) return undefined
    this.byId.delete(taskId)
    this.tally.subtract(task)
    job.remove(task)
    this.takeFromLane(job, task)
    if (job.waiting.size === 0) this.jobs.delete(job.jobId)
    else this.reorder(job)
    return task
  }

  override removeJob(jobId: string): readonly T[] {
    const tasks = [...(this.jobs.get(jobId)?.waiting ?? [])]
    for (const task of tasks) this.remove(task.taskId)
    return tasks
  }

  override removeExpired(now: number): readonly T[] {
    if (now < this.earliestDeadline) return []
    const expired = [...this.byId.values()].filter((task) => task.deadlineAt <= now)
    for (const task of expired) this.remove(task.taskId)
    this.earliestDeadline = Infinity
    for (const { deadlineAt } of this.byId.values()) {
      this.earliestDeadline = Math.min(this.earliestDeadline, deadlineAt)
    }
    return expired
  }

  override noteProgress(jobId: string, remaining: number): void {
    const job = this.jobs.get(jobId)
    if (job === undefined || remaining >= job.unstarted) return
    job.unstarted = remaining
    this.reorder(job)
  }

  override sizeOf(caller: string): number {
    return this.tally.of(caller).tasks
  }

  override has(taskId: string): boolean {
    return this.byId.has(taskId)
  }

  override tasks(): Iterable<T> {
    return this.byId.values()
  }

  /** Finds the first task that fits among the first few jobs of the group. */
  private probe(group: LaneGroup<T>, fits: (task: T) => boolean): T | undefined {
    const first = group.lanes.peek()?.next
    if (first !== undefined && fits(first)) return first
    const skipped: JobLane<T>[] = []
    let found: T | undefined
    while (found === undefined && skipped.length < PROBES_PER_GROUP) {
      const lane = group.lanes.pop()
      if (lane === undefined) break
      skipped.push(lane)
      if (skipped.length > 1 && lane.next !== undefined && fits(lane.next)) found = lane.next
    }
    for (const lane of skipped) group.lanes.push(lane)
    return found
  }

  private jobOf(now: number, task: T): WaitingJob<T> {
    const known = this.jobs.get(task.jobId)
    if (known !== undefined) return known
    const job = new WaitingJob<T>(task.jobId, task.caller)
    this.jobs.set(task.jobId, job)
    this.onJobArrival(now, job)
    return job
  }

  private laneOf(job: WaitingJob<T>, task: T): JobLane<T> {
    const resources = resourcesKey(task)
    const known = job.lanes.get(resources)
    if (known !== undefined) return known
    const lane = new JobLane<T>(job, this.groupOf(resources))
    lane.group.lanes.push(lane)
    job.lanes.set(resources, lane)
    return lane
  }

  private groupOf(resources: string): LaneGroup<T> {
    const known = this.groups.get(resources)
    if (known !== undefined) return known
    const group = new LaneGroup<T>(resources)
    this.groups.set(resources, group)
    this.groupOrder.push(group)
    return group
  }

  private takeFromLane(job: WaitingJob<T>, task: T): void {
    const lane = job.lanes.get(resourcesKey(task))
    if (lane === undefined) return
    lane.remove(task)
    if (!lane.isEmpty) return
    const { group } = lane
    job.lanes.delete(group.resources)
    group.lanes.remove(lane)
    group.refreshKey()
    this.groupOrder.update(group)
    if (group.lanes.size > 0) return
    this.groups.delete(group.resources)
    this.groupOrder.remove(group)
  }

  private reorder(job: WaitingJob<T>): void {
    const rank = this.rank(job)
    for (const lane of job.lanes.values()) {
      lane.heapKey = rank
      lane.group.lanes.update(lane)
      lane.group.refreshKey()
      this.groupOrder.update(lane.group)
    }
  }
}

function resourcesKey({ resources }: QueuedTask): string {
  if (resources === undefined) return ''
  return `${resources.cores}/${resources.memoryMb}/${resources.accelerators}`
}
