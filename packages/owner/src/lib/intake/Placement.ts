import { create } from '@bufbuild/protobuf'
import { formatTaskId, groupBy } from '@cherryhitch/model'
import type { PlacedTask, PlaceTasks } from '@cherryhitch/protocol'
import { FenceState, Outcome, Reason, TaskSpecSchema } from '@cherryhitch/protocol'
import type { Dispatcher } from '../dispatch/Dispatcher'
import type { ServiceLane } from '../dispatch/ServiceLane'
import type { TaskEnd } from '../outcomes/TaskEnd'
import type { TaskEnds } from '../outcomes/TaskEnds'
import type { OwnerContext } from '../OwnerContext'
import type { JobRecord } from '../tasks/TaskRecord'
import { TaskRecord } from '../tasks/TaskRecord'

/** Takes placed tasks into the queues, or refuses them as truly not run. @internal */
export class Placement {
  constructor(
    private readonly ctx: OwnerContext,
    private readonly ends: TaskEnds,
    private readonly dispatcher: Dispatcher,
  ) {}

  place(now: number, from: string, placement: PlaceTasks): void {
    if (placement.ownerBoot !== 0 && placement.ownerBoot !== this.ctx.boot) {
      this.ctx.counters.misdirectedPlacements += placement.tasks.length
      return
    }
    if (this.ctx.memory.isCancelled(placement.jobId)) {
      this.ctx.counters.fencedPlacements += placement.tasks.length
      return
    }
    const coordinator = placement.coordinator === '' ? from : placement.coordinator
    const { jobId } = placement
    const passedOn = from !== coordinator
    const fresh = placement.tasks.filter((placed) => this.isFresh(jobId, placed, passedOn))
    if (fresh.length === 0) return
    const job = this.ctx.book.openJob(placement, coordinator)
    const deadlineAt = now + placement.deadlineInMs
    const tasks = fresh.map((placed) => makeTask(now, job, placed, deadlineAt))
    this.ctx.counters.placed += tasks.length
    this.ctx.retries.noteFresh(now, fresh.filter((placed) => placed.attempt === 0).length)
    if (passedOn) this.announceMove(job, fresh)
    for (const [service, group] of groupBy(tasks, (task) => task.service)) {
      this.take(now, service, group, passedOn)
    }
    this.ctx.book.closeJob(job)
  }

  /** Whether nothing is known of the task that speaks against queueing it. */
  private isFresh(jobId: string, placed: PlacedTask, passedOn: boolean): boolean {
    const taskId = formatTaskId(jobId, placed.index)
    const known = this.ctx.memory.get(taskId)
    if (known?.attempt === Infinity) {
      this.ctx.counters.fencedPlacements++
      return false
    }
    const queuedHere = this.ctx.book.get(taskId) !== undefined
    // A task that was passed on may come back, from whichever owner had it last.
    const comesBack = passedOn && known?.passedTo !== undefined
    const anew = known === undefined || (known.notRun && placed.attempt > known.attempt)
    if (!queuedHere && (comesBack || anew)) return true
    this.ctx.counters.duplicatePlacements++
    return false
  }

  /** The coordinator learns from it that another owner than the one it chose has the tasks. */
  private announceMove(job: JobRecord, placed: readonly PlacedTask[]): void {
    const reports = placed.map(({ index }) => ({ index, state: FenceState.IN_PROGRESS }))
    const value = { jobId: job.jobId, reports }
    this.ctx.outbox.send(job.coordinator, { case: 'fenceReports', value })
  }

  private take(
    now: number,
    service: string,
    tasks: readonly TaskRecord[],
    passedOn: boolean,
  ): void {
    const lane = this.ctx.lane(service)
    const refusal = this.refusalOf(now, lane, tasks, passedOn)
    for (const task of tasks) {
      const end = refusal ?? refusalOfTask(now, lane, task)
      if (end === undefined) this.accept(now, task)
      else this.ends.settle(now, task, end)
    }
    if (lane.isEmpty) this.ctx.lanes.delete(service)
  }

  private accept(now: number, task: TaskRecord): void {
    this.ctx.memory.forget(task.taskId)
    this.ctx.book.add(task)
    this.dispatcher.enqueue(now, task)
  }

  /** A batch is refused as a whole: one refused task fails its job anyway. */
  private refusalOf(
    now: number,
    lane: ServiceLane,
    tasks: readonly TaskRecord[],
    passedOn: boolean,
  ): TaskEnd | undefined {
    if (lane.endpoints.size === 0 || this.ctx.draining) {
      // A queue that moves is emptied at the end of the step, towards the new owner. What was
      // passed on before is not passed on at once again: two owners could go on like that.
      return !passedOn && this.ctx.canPassOn(lane.service) ? undefined : this.noEndpoint()
    }
    if (lane.isDeserted(now, this.ctx.timing)) return this.noEndpoint()
    return this.refusalByLimits(lane, tasks)
  }

  private refusalByLimits(lane: ServiceLane, tasks: readonly TaskRecord[]): TaskEnd | undefined {
    const { queuedTasksPerSlot, callerQueueShare } = this.ctx.preset
    const waiting = lane.queue.size + lane.delayed
    const limit = queuedTasksPerSlot * lane.slots
    // An empty queue takes any job, so that one larger than the limit can run at all.
    if (waiting === 0 || limit === 0) return undefined
    if (waiting + tasks.length > limit) return refuse(lane, Reason.QUEUE_FULL, 'The queue is full.')
    const share = callerQueueShare * limit
    if (share === 0 || waiting + tasks.length <= share) return undefined
    const own = lane.queue.sizeOf(tasks[0]?.caller ?? '')
    if (own === waiting || own + tasks.length <= share) return undefined
    return refuse(lane, Reason.CALLER_LIMIT, "The caller's share of the queue is used up.")
  }

  private noEndpoint(): TaskEnd {
    return {
      outcome: Outcome.NOT_RUN,
      reason: this.ctx.draining ? Reason.DRAINING : Reason.NO_ENDPOINT,
      detail: 'No endpoint of the service is known here now.',
      retryAfterMs: this.ctx.timing.heartbeatMs,
    }
  }
}

function refuse(lane: ServiceLane, reason: Reason, detail: string): TaskEnd {
  const retryAfterMs = Math.ceil(lane.predictWaitMs(Math.max(1, lane.slots), 0))
  return { outcome: Outcome.NOT_RUN, reason, detail, retryAfterMs }
}

function refusalOfTask(now: number, lane: ServiceLane, task: TaskRecord): TaskEnd | undefined {
  if (task.deadlineAt <= now) {
    const detail = 'The deadline passed before the task was queued.'
    return { outcome: Outcome.NOT_RUN, reason: Reason.DEADLINE_PASSED, detail }
  }
  if (lane.endpoints.size === 0) return undefined
  for (const record of lane.endpoints) {
    if (record.couldHold(task.resources)) return undefined
  }
  const detail = 'No worker known here is large enough for the task.'
  return { outcome: Outcome.NOT_RUN, reason: Reason.NEVER_FITS, detail }
}

function makeTask(now: number, job: JobRecord, placed: PlacedTask, deadlineAt: number): TaskRecord {
  const taskId = formatTaskId(job.jobId, placed.index)
  // Without a specification the task names no service, and is refused for want of an endpoint.
  const spec = placed.spec ?? create(TaskSpecSchema)
  return new TaskRecord(taskId, job, deadlineAt, now, placed, spec)
}
