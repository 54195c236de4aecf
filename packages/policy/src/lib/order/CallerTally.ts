import type { QueuedTask } from './TaskQueue'

interface CallerLoad {
  tasks: number
  workMs: number
}

const noLoad: Readonly<CallerLoad> = { tasks: 0, workMs: 0 }

/** Counts waiting tasks and sums their work, in total and per caller. @internal */
export class CallerTally {
  private readonly loads = new Map<string, CallerLoad>()
  private total: CallerLoad = { tasks: 0, workMs: 0 }

  get tasks(): number {
    return this.total.tasks
  }

  get workMs(): number {
    return this.total.workMs
  }

  /** Callers with at least one waiting task. */
  get callers(): number {
    return this.loads.size
  }

  of(caller: string): Readonly<CallerLoad> {
    return this.loads.get(caller) ?? noLoad
  }

  add(task: QueuedTask): void {
    const load = this.loads.get(task.caller) ?? { tasks: 0, workMs: 0 }
    this.loads.set(task.caller, load)
    this.change(load, 1, task.estimateMs)
  }

  subtract(task: QueuedTask): void {
    const load = this.loads.get(task.caller)
    if (load === undefined) return
    this.change(load, -1, -task.estimateMs)
    if (load.tasks === 0) this.loads.delete(task.caller)
    // Floating-point sums drift, so the total is reset to exactly 0 when the queue is empty.
    if (this.total.tasks === 0) this.total = { tasks: 0, workMs: 0 }
  }

  private change(load: CallerLoad, tasks: number, workMs: number): void {
    load.tasks += tasks
    load.workMs += workMs
    this.total.tasks += tasks
    this.total.workMs += workMs
  }
}
