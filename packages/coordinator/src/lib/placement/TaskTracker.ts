import type { CoordinatorContext } from '../CoordinatorContext'
import type { Job, TaskRecord } from '../jobs/Job'
import { TaskPhase } from '../jobs/Job'
import type { Placement } from '../jobs/Placement'
import { placementSpan } from '../jobs/jobSpans'

/**
 * Applies the state changes of placed tasks and keeps all derived state consistent: the job's
 * counts, the tasks of each owner, the load not yet in the owners' heartbeats and the placement
 * spans.
 *
 * @internal
 */
export class TaskTracker {
  constructor(private readonly context: CoordinatorContext) {}

  place(now: number, task: TaskRecord, placement: Placement): void {
    const { job } = task
    job.markPlaced(task, placement)
    this.context.tasksByOwner.add(placement.owner, task)
    this.context.members.notePlaced(now, placement.owner, serviceOf(task))
  }

  succeed(now: number, task: TaskRecord, output: string): void {
    const previous = this.detachFromOwner(task)
    task.job.markSucceeded(task, output)
    this.emitSpanIfSettled(now, task.job, previous)
  }

  fail(now: number, task: TaskRecord): void {
    const previous = this.detachFromOwner(task)
    task.job.markFailed(task)
    this.emitSpanIfSettled(now, task.job, previous)
  }

  /** Marks a task as not run, as reported by `from`. */
  markNotRun(now: number, task: TaskRecord, from: string): void {
    const previous = this.detachFromOwner(task)
    task.job.markNotRun(task, from)
    this.emitSpanIfSettled(now, task.job, previous)
  }

  /** Moves a task to the owner that it was passed on to. */
  passOn(now: number, task: TaskRecord, placement: Placement): void {
    const previous = this.detachFromOwner(task)
    task.job.markPassedOn(task, placement)
    this.context.tasksByOwner.add(placement.owner, task)
    this.emitSpanIfSettled(now, task.job, previous)
  }

  /** Stops tracking the tasks of an ended job. @returns the owners that had tasks in flight */
  abandon(now: number, job: Job): ReadonlySet<string> {
    const owners = new Set<string>()
    const placements = new Set<Placement>()
    for (const task of job.tasks) {
      const { placement } = task
      if (placement === undefined || task.phase !== TaskPhase.InFlight) continue
      this.detachFromOwner(task)
      placement.ok = false
      placements.add(placement)
      owners.add(placement.owner)
    }
    for (const placement of placements) {
      this.context.outbox.span(placementSpan(job, placement, now))
    }
    return owners
  }

  private detachFromOwner(task: TaskRecord): Placement | undefined {
    const { placement } = task
    if (placement === undefined) return undefined
    this.context.tasksByOwner.remove(placement.owner, task)
    this.context.members.noteEnded(placement.owner, serviceOf(task), placement.placedAt)
    return placement
  }

  private emitSpanIfSettled(now: number, job: Job, placement: Placement | undefined): void {
    if (placement?.openTasks !== 0) return
    this.context.outbox.span(placementSpan(job, placement, now))
  }
}

/** @internal */
export function serviceOf(task: TaskRecord): string {
  return task.job.spec.tasks[task.index]?.service ?? ''
}
