import type { TaskRecord } from '../jobs/Job'

const NONE: ReadonlySet<TaskRecord> = new Set()

/** Tasks in flight by their owner, so that a lost owner's tasks are found without a search. @internal */
export class TasksByOwner {
  private readonly tasks = new Map<string, Set<TaskRecord>>()

  add(owner: string, task: TaskRecord): void {
    const present = this.tasks.get(owner)
    if (present === undefined) this.tasks.set(owner, new Set([task]))
    else present.add(task)
  }

  remove(owner: string, task: TaskRecord): void {
    this.tasks.get(owner)?.delete(task)
  }

  of(owner: string): ReadonlySet<TaskRecord> {
    return this.tasks.get(owner) ?? NONE
  }
}
