import { parseTraceparent } from '@cherryhitch/model'
import type { PlaceTasks } from '@cherryhitch/protocol'
import type { JobRecord, TaskRecord } from './TaskRecord'

/** All tasks queued or dispatched by this owner, indexed by id, job and coordinator. @internal */
export class TaskRegistry {
  private readonly tasks = new Map<string, TaskRecord>()
  private readonly jobs = new Map<string, JobRecord>()
  private readonly coordinators = new Map<string, Set<JobRecord>>()

  get size(): number {
    return this.tasks.size
  }

  get(taskId: string): TaskRecord | undefined {
    return this.tasks.get(taskId)
  }

  job(jobId: string): JobRecord | undefined {
    return this.jobs.get(jobId)
  }

  jobsOf(coordinator: string): readonly JobRecord[] {
    return [...(this.coordinators.get(coordinator) ?? [])]
  }

  coordinatorNames(): Iterable<string> {
    return this.coordinators.keys()
  }

  /** Adds the job of a placement, or updates the remaining tasks of a known job. */
  openJob(placement: PlaceTasks, coordinator: string): JobRecord {
    const known = this.jobs.get(placement.jobId)
    if (known !== undefined) {
      known.remaining = placement.jobRemaining
      return known
    }
    const job: JobRecord = {
      jobId: placement.jobId,
      caller: placement.caller,
      coordinator,
      idempotent: placement.idempotent,
      traceparent: placement.traceparent,
      trace: parseTraceparent(placement.traceparent),
      remaining: placement.jobRemaining,
      tasks: new Map(),
      spread: undefined,
    }
    this.jobs.set(job.jobId, job)
    this.index(job)
    return job
  }

  add(task: TaskRecord): void {
    this.tasks.set(task.taskId, task)
    task.job.tasks.set(task.index, task)
  }

  /** Removes a task, and its job if it was the last one. */
  remove(task: TaskRecord): void {
    this.tasks.delete(task.taskId)
    task.job.tasks.delete(task.index)
    this.closeJob(task.job)
  }

  /** Removes a job that has no tasks at this owner. */
  closeJob(job: JobRecord): void {
    if (job.tasks.size > 0) return
    this.jobs.delete(job.jobId)
    const jobs = this.coordinators.get(job.coordinator)
    jobs?.delete(job)
    if (jobs?.size === 0) this.coordinators.delete(job.coordinator)
  }

  private index(job: JobRecord): void {
    const jobs = this.coordinators.get(job.coordinator)
    if (jobs === undefined) this.coordinators.set(job.coordinator, new Set([job]))
    else jobs.add(job)
  }
}
