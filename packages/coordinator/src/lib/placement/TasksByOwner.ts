import type { TaskRecord } from '../jobs/Job'

const NONE: ReadonlySet<TaskRecord> = new Set()

/** Index of tasks in flight by owner, to find a lost owner's tasks without a scan. @internal */
export class TasksByOwner {
  private readonly tasks = new Map<string, Set<TaskRecord>>()

  add(owner: string, task: TaskRecord): void {
    const existing = this.tasks.get(owner)
    if (existing === undefined) this.tasks.set(owner, new Set([task]))
    else existing.add(task)
  }

  remove(owner: string, task: TaskRecord): void {
    this.tasks.get(owner)?.delete(task)
  }

  of(owner: string): ReadonlySet<TaskRecord> {
    return this.tasks.get(owner) ?? NONE
  }
}
