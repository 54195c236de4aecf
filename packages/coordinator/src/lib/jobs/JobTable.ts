import type { Job } from './Job'

/** Jobs in flight, with the number of their tasks per caller. @internal */
export class JobTable {
  private readonly bySequence = new Map<number, Job>()
  private readonly tasksOfCaller = new Map<string, number>()
  private taskCount = 0

  get size(): number {
    return this.bySequence.size
  }

  get tasksInFlight(): number {
    return this.taskCount
  }

  get activeCallers(): number {
    return this.tasksOfCaller.size
  }

  add(job: Job): void {
    this.bySequence.set(job.sequence, job)
    this.taskCount += job.tasks.length
    this.tasksOfCaller.set(job.caller, this.tasksOf(job.caller) + job.tasks.length)
  }

  remove(job: Job): void {
    if (!this.bySequence.delete(job.sequence)) return
    this.taskCount -= job.tasks.length
    const left = this.tasksOf(job.caller) - job.tasks.length
    if (left > 0) this.tasksOfCaller.set(job.caller, left)
    else this.tasksOfCaller.delete(job.caller)
  }

  get(sequence: number): Job | undefined {
    return this.bySequence.get(sequence)
  }

  tasksOf(caller: string): number {
    return this.tasksOfCaller.get(caller) ?? 0
  }

  /** Callers with jobs in flight. */
  callers(): Iterable<string> {
    return this.tasksOfCaller.keys()
  }

  all(): Iterable<Job> {
    return this.bySequence.values()
  }
}
