import { create } from '@bufbuild/protobuf'
import { deriveTraceparent, parseTraceparent } from '@cherryhitch/model'
import type { OwnerOffer, RoutedTask } from '@cherryhitch/policy'
import type { PlacedTask } from '@cherryhitch/protocol'
import { PlacedTaskSchema, PlaceTasksSchema } from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import type { Job, TaskRecord } from '../jobs/Job'
import { newPlacement } from '../jobs/Placement'
import { TimerKind } from '../timers/CoordinatorTimer'
import type { TaskTracker } from './TaskTracker'
import { serviceOf } from './TaskTracker'

/** Owners are queried about a task once it takes this many times its expected duration. */
const LATE_FACTOR = 3
/** Upper bound of the deadline margin of owners, as a share of the time left. */
const MAX_MARGIN_SHARE = 0.05

/** Tasks by the owner that they are assigned to. @internal */
export type Routes = ReadonlyMap<string, readonly TaskRecord[]>

/** Assigns tasks to owners and sends them. @internal */
export class TaskPlacer {
  constructor(
    private readonly context: CoordinatorContext,
    private readonly tracker: TaskTracker,
  ) {}

  /** @returns undefined when any of the tasks has no eligible owner */
  route(now: number, job: Job, tasks: readonly TaskRecord[]): Routes | undefined {
    const { policies, members, options } = this.context
    const offers = withoutExcludedOwners(members.offers, tasks)
    const assigned = policies.router.assign(now, options.zone, tasks.map(routedTask), offers)
    if (assigned.length < tasks.length) return undefined
    const routes = new Map<string, TaskRecord[]>()
    for (const { index, instance } of assigned) {
      const task = job.tasks[index]
      if (task === undefined) continue
      const existing = routes.get(instance)
      if (existing === undefined) routes.set(instance, [task])
      else existing.push(task)
    }
    return routes
  }

  send(now: number, job: Job, routes: Routes): void {
    let expectedMs = 0
    for (const [owner, tasks] of routes) {
      this.sendTo(now, job, owner, tasks)
      expectedMs = Math.max(expectedMs, this.expectedMs(owner, tasks))
    }
    this.scheduleLateTaskQuery(now, job, expectedMs)
  }

  private sendTo(now: number, job: Job, owner: string, tasks: readonly TaskRecord[]): void {
    const { outbox, counters, members, options } = this.context
    const traceparent = deriveTraceparent(job.traceparent, `${job.id}/place/${job.placements++}`)
    const spanId = parseTraceparent(traceparent)?.spanId ?? ''
    const placement = newPlacement(now, owner, members.bootOf(owner), spanId)
    for (const task of tasks) this.tracker.place(now, task, placement)
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
    value.tasks = tasks.map(toPlacedTask)
    counters.placeMessages++
    counters.tasksPlaced += tasks.length
    outbox.send(owner, { case: 'placeTasks', value })
  }

  /**
   * Owners get a slightly earlier deadline than the job, so that tasks still queued are reported as
   * not run in time for the answer to the caller.
   */
  private ownerDeadlineInMs(now: number, job: Job): number {
    const leftMs = Math.max(0, job.deadlineAt - now)
    const marginMs = Math.min(this.context.timing.ownerDeadlineMarginMs, leftMs * MAX_MARGIN_SHARE)
    return leftMs - marginMs
  }

  private expectedMs(owner: string, tasks: readonly TaskRecord[]): number {
    let longest = 0
    for (const task of tasks) {
      const waitMs = this.context.members.predictedWaitMs(owner, serviceOf(task))
      longest = Math.max(longest, waitMs + task.estimateMs)
    }
    return longest
  }

  private scheduleLateTaskQuery(now: number, job: Job, expectedMs: number): void {
    const { lateTaskQueryMs, lateTaskQueryMaxMs } = this.context.timing
    const lateMs = Math.min(Math.max(lateTaskQueryMs, LATE_FACTOR * expectedMs), lateTaskQueryMaxMs)
    const at = now + lateMs
    if (at >= job.deadlineAt || job.lateTaskQueryScheduled) return
    job.lateTaskQueryScheduled = true
    this.context.timers.schedule(at, { kind: TimerKind.QueryLateTasks, sequence: job.sequence })
  }
}

/** Excludes owners that reported one of the tasks as not run, fenced its id or passed it on. */
function withoutExcludedOwners(
  offers: readonly OwnerOffer[],
  tasks: readonly TaskRecord[],
): readonly OwnerOffer[] {
  const excluded = new Set<string>()
  for (const task of tasks) {
    for (const instance of task.refusedBy) excluded.add(instance)
    for (const instance of task.avoidedOwners) excluded.add(instance)
  }
  if (excluded.size === 0) return offers
  return offers.filter((offer) => !excluded.has(offer.instance))
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

function toPlacedTask(task: TaskRecord): PlacedTask {
  const placed = create(PlacedTaskSchema)
  const spec = task.job.spec.tasks[task.index]
  placed.index = task.index
  if (spec !== undefined) placed.spec = spec
  placed.estimateMs = task.estimateMs
  placed.attempt = task.attempt
  return placed
}
