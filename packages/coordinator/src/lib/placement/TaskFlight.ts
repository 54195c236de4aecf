import type { CoordinatorContext } from '../CoordinatorContext'
import type { Job, TaskRecord } from '../jobs/Job'
import { TaskPhase } from '../jobs/Job'
import type { Placement } from '../jobs/Placement'
import { placementSpan } from '../jobs/jobSpans'

/**
 * Moves tasks into flight and out of it, and keeps all books on that in step: the job's counts,
 * the tasks of each owner, the unreported load and the spans of the hops.
 *
 * @internal
 */
export class TaskFlight {
  constructor(private readonly context: CoordinatorContext) {}

  place(now: number, task: TaskRecord, placement: Placement): void {
    const { job } = task
    job.markPlaced(task, placement)
    this.context.inFlight.add(placement.owner, task)
    this.context.members.notePlaced(now, placement.owner, serviceOf(task))
  }

  succeed(now: number, task: TaskRecord, output: string): void {
    const left = this.leave(task)
    task.job.markSucceeded(task, output)
    this.closeIfEmpty(now, task.job, left)
  }

  fail(now: number, task: TaskRecord): void {
    const left = this.leave(task)
    task.job.markFailed(task)
    this.closeIfEmpty(now, task.job, left)
  }

  /** The task truly did not run, as `from` says. */
  withdraw(now: number, task: TaskRecord, from: string): void {
    const left = this.leave(task)
    task.job.markNotRun(task, from)
    this.closeIfEmpty(now, task.job, left)
  }

  /** Another owner has the task now. */
  passOn(now: number, task: TaskRecord, placement: Placement): void {
    const left = this.leave(task)
    task.job.markPassedOn(task, placement)
    this.context.inFlight.add(placement.owner, task)
    this.closeIfEmpty(now, task.job, left)
  }

  /** The job is over: its tasks are nobody's concern here any more. */
  abandon(now: number, job: Job): ReadonlySet<string> {
    const owners = new Set<string>()
    const placements = new Set<Placement>()
    for (const task of job.tasks) {
      const { placement } = task
      if (placement === undefined || task.phase !== TaskPhase.InFlight) continue
      this.leave(task)
      placement.ok = false
      placements.add(placement)
      owners.add(placement.owner)
    }
    for (const placement of placements) {
      this.context.outbox.span(placementSpan(job, placement, now))
    }
    return owners
  }

  private leave(task: TaskRecord): Placement | undefined {
    const { placement } = task
    if (placement === undefined) return undefined
    this.context.inFlight.remove(placement.owner, task)
    this.context.members.noteEnded(placement.owner, serviceOf(task), placement.placedAt)
    return placement
  }

  private closeIfEmpty(now: number, job: Job, placement: Placement | undefined): void {
    if (placement?.open !== 0) return
    this.context.outbox.span(placementSpan(job, placement, now))
  }
}

/** @internal */
export function serviceOf(task: TaskRecord): string {
  return task.job.spec.tasks[task.index]?.service ?? ''
}
