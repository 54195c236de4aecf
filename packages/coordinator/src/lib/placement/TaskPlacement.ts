import { create } from '@bufbuild/protobuf'
import { deriveTraceparent, parseTraceparent } from '@cherryhitch/model'
import type { OwnerOffer, RoutedTask } from '@cherryhitch/policy'
import type { PlacedTask } from '@cherryhitch/protocol'
import { PlacedTaskSchema, PlaceTasksSchema } from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import type { Job, TaskRecord } from '../jobs/Job'
import { newPlacement } from '../jobs/Placement'
import { DueKind } from '../timers/DueItem'
import type { TaskFlight } from './TaskFlight'
import { serviceOf } from './TaskFlight'

/** A task is asked after once it takes this many times as long as it was expected to. */
const LATE_FACTOR = 3
/** Largest share of the time left that owners may lose for the earlier deadline. */
const MAX_MARGIN_SHARE = 0.05

/** Which owner gets each of some tasks. @internal */
export type Routes = ReadonlyMap<string, readonly TaskRecord[]>

/** Chooses owners for tasks and sends them there. @internal */
export class TaskPlacement {
  constructor(
    private readonly context: CoordinatorContext,
    private readonly flight: TaskFlight,
  ) {}

  /** @returns undefined when some task has no owner that could take it */
  route(now: number, job: Job, tasks: readonly TaskRecord[]): Routes | undefined {
    const { policies, members, options } = this.context
    const offers = withoutRefusing(members.offers, tasks)
    const assigned = policies.router.assign(now, options.zone, tasks.map(routedTask), offers)
    if (assigned.length < tasks.length) return undefined
    const routes = new Map<string, TaskRecord[]>()
    for (const { index, instance } of assigned) {
      const task = job.tasks[index]
      if (task === undefined) continue
      const present = routes.get(instance)
      if (present === undefined) routes.set(instance, [task])
      else present.push(task)
    }
    return routes
  }

  send(now: number, job: Job, routes: Routes): void {
    let expectedMs = 0
    for (const [owner, tasks] of routes) {
      this.sendTo(now, job, owner, tasks)
      expectedMs = Math.max(expectedMs, this.expectedMs(owner, tasks))
    }
    this.scheduleQuestion(now, job, expectedMs)
  }

  private sendTo(now: number, job: Job, owner: string, tasks: readonly TaskRecord[]): void {
    const { outbox, counters, members, options } = this.context
    const traceparent = deriveTraceparent(job.traceparent, `${job.id}/place/${job.placements++}`)
    const spanId = parseTraceparent(traceparent)?.spanId ?? ''
    const placement = newPlacement(now, owner, members.bootOf(owner), spanId)
    for (const task of tasks) this.flight.place(now, task, placement)
    const value = create(PlaceTasksSchema, {
      jobId: job.id,
      caller: job.caller,
      deadlineInMs: this.ownerDeadlineInMs(now, job),
      idempotent: job.spec.idempotent,
      jobRemaining: job.remaining,
      traceparent,
      coordinator: options.instance,
      ownerBoot: placement.boot,
    })
    value.tasks = tasks.map(placedTask)
    counters.placeMessages++
    counters.tasksPlaced += tasks.length
    outbox.send(owner, { case: 'placeTasks', value })
  }

  /**
   * Owners get a slightly earlier deadline than the caller's: what was still queued is reported
   * as not run in time for an answer that says so.
   */
  private ownerDeadlineInMs(now: number, job: Job): number {
    const leftMs = Math.max(0, job.deadlineAt - now)
    const marginMs = Math.min(this.context.timing.ownerDeadlineMarginMs, leftMs * MAX_MARGIN_SHARE)
    return leftMs - marginMs
  }

  private expectedMs(owner: string, tasks: readonly TaskRecord[]): number {
    let longest = 0
    for (const task of tasks) {
      const waitMs = this.context.members.waitAt(owner, serviceOf(task))
      longest = Math.max(longest, waitMs + task.estimateMs)
    }
    return longest
  }

  private scheduleQuestion(now: number, job: Job, expectedMs: number): void {
    const { askAfterMs, askAfterMaxMs } = this.context.timing
    const lateMs = Math.min(Math.max(askAfterMs, LATE_FACTOR * expectedMs), askAfterMaxMs)
    const at = now + lateMs
    if (at >= job.deadlineAt || job.questionDue) return
    job.questionDue = true
    this.context.due.schedule(at, { kind: DueKind.AskAfterLate, sequence: job.sequence })
  }
}

/** No owner that said "not run", fenced the id or passed the task on gets it again. */
function withoutRefusing(
  offers: readonly OwnerOffer[],
  tasks: readonly TaskRecord[],
): readonly OwnerOffer[] {
  const refusing = new Set<string>()
  for (const task of tasks) {
    for (const instance of task.refusedBy) refusing.add(instance)
    for (const instance of task.avoided) refusing.add(instance)
  }
  if (refusing.size === 0) return offers
  return offers.filter((offer) => !refusing.has(offer.instance))
}

/** @internal */
export function routedTask(task: TaskRecord): RoutedTask {
  const spec = task.job.spec.tasks[task.index]
  return {
    index: task.index,
    service: spec?.service ?? '',
    estimateMs: task.estimateMs,
    resources: spec?.resources,
  }
}

function placedTask(task: TaskRecord): PlacedTask {
  const placed = create(PlacedTaskSchema)
  const spec = task.job.spec.tasks[task.index]
  placed.index = task.index
  if (spec !== undefined) placed.spec = spec
  placed.estimateMs = task.estimateMs
  placed.attempt = task.attempt
  return placed
}
