import { create } from '@bufbuild/protobuf'
import { formatTaskId, groupBy } from '@cherryhitch/model'
import type { PlacedTask, PlaceTasks } from '@cherryhitch/protocol'
import { FenceState, Outcome, Reason, TaskSpecSchema } from '@cherryhitch/protocol'
import type { Dispatcher } from '../dispatch/Dispatcher'
import type { ServicePool } from '../dispatch/ServicePool'
import type { TaskResult } from '../outcomes/TaskResult'
import type { TaskSettler } from '../outcomes/TaskSettler'
import type { OwnerContext } from '../OwnerContext'
import type { JobRecord } from '../tasks/TaskRecord'
import { TaskRecord } from '../tasks/TaskRecord'

/** Enqueues placed tasks, or refuses them as not run. @internal */
export class Placement {
  constructor(
    private readonly ctx: OwnerContext,
    private readonly settler: TaskSettler,
    private readonly dispatcher: Dispatcher,
  ) {}

  place(now: number, from: string, placement: PlaceTasks): void {
    if (placement.ownerBoot !== 0 && placement.ownerBoot !== this.ctx.boot) {
      this.ctx.counters.misdirectedPlacements += placement.tasks.length
      return
    }
    if (this.ctx.history.isCancelled(placement.jobId)) {
      this.ctx.counters.fencedPlacements += placement.tasks.length
      return
    }
    const coordinator = placement.coordinator === '' ? from : placement.coordinator
    const { jobId } = placement
    const isForwarded = from !== coordinator
    const accepted = placement.tasks.filter((placed) =>
      this.shouldQueue(jobId, placed, isForwarded),
    )
    if (accepted.length === 0) return
    const job = this.ctx.registry.openJob(placement, coordinator)
    const deadlineAt = now + placement.deadlineInMs
    const tasks = accepted.map((placed) => makeTask(now, job, placed, deadlineAt))
    this.ctx.counters.placed += tasks.length
    this.ctx.retryBudget.recordNewTasks(
      now,
      accepted.filter((placed) => placed.attempt === 0).length,
    )
    if (isForwarded) this.reportNewOwner(job, accepted)
    for (const [service, group] of groupBy(tasks, (task) => task.service)) {
      this.enqueueOrRefuse(now, service, group, isForwarded)
    }
    this.ctx.registry.closeJob(job)
  }

  /** Whether a placed task is neither fenced nor a duplicate. */
  private shouldQueue(jobId: string, placed: PlacedTask, isForwarded: boolean): boolean {
    const taskId = formatTaskId(jobId, placed.index)
    const entry = this.ctx.history.get(taskId)
    if (entry?.attempt === Infinity) {
      this.ctx.counters.fencedPlacements++
      return false
    }
    const isKnownHere = this.ctx.registry.get(taskId) !== undefined
    // A task that was forwarded may come back, from whichever owner had it last.
    const isReturned = isForwarded && entry?.passedTo !== undefined
    const isNewAttempt = entry === undefined || (entry.notRun && placed.attempt > entry.attempt)
    if (!isKnownHere && (isReturned || isNewAttempt)) return true
    this.ctx.counters.duplicatePlacements++
    return false
  }

  /** Tells the coordinator that the tasks are now here, not at the owner that it chose. */
  private reportNewOwner(job: JobRecord, placed: readonly PlacedTask[]): void {
    const reports = placed.map(({ index }) => ({ index, state: FenceState.IN_PROGRESS }))
    const value = { jobId: job.jobId, reports }
    this.ctx.outbox.send(job.coordinator, { case: 'fenceReports', value })
  }

  private enqueueOrRefuse(
    now: number,
    service: string,
    tasks: readonly TaskRecord[],
    isForwarded: boolean,
  ): void {
    const pool = this.ctx.poolOf(service)
    const refusal = this.refusalOf(now, pool, tasks, isForwarded)
    for (const task of tasks) {
      const result = refusal ?? refusalOfTask(now, pool, task)
      if (result === undefined) this.enqueue(now, task)
      else this.settler.settle(now, task, result)
    }
    if (pool.isEmpty) this.ctx.pools.delete(service)
  }

  private enqueue(now: number, task: TaskRecord): void {
    this.ctx.history.forget(task.taskId)
    this.ctx.registry.add(task)
    this.dispatcher.enqueue(now, task)
  }

  /** A batch is refused as a whole: one refused task fails its job anyway. */
  private refusalOf(
    now: number,
    pool: ServicePool,
    tasks: readonly TaskRecord[],
    isForwarded: boolean,
  ): TaskResult | undefined {
    if (pool.endpoints.size === 0 || this.ctx.draining) {
      // The queue is forwarded to the new owner at the end of the step. Tasks that were forwarded
      // to here are not forwarded again at once, since two owners could repeat that endlessly.
      return !isForwarded && this.ctx.canForward(pool.service) ? undefined : this.noEndpoint()
    }
    if (pool.hasNoUsableEndpoint(now, this.ctx.timing)) return this.noEndpoint()
    return this.refusalByLimits(pool, tasks)
  }

  private refusalByLimits(pool: ServicePool, tasks: readonly TaskRecord[]): TaskResult | undefined {
    const { queuedTasksPerSlot, callerQueueShare } = this.ctx.preset
    const waiting = pool.queue.size + pool.delayedTasks
    const limit = queuedTasksPerSlot * pool.slots
    // An empty queue accepts any job, so that one larger than the limit can run at all.
    if (waiting === 0 || limit === 0) return undefined
    if (waiting + tasks.length > limit) return refuse(pool, Reason.QUEUE_FULL, 'The queue is full.')
    const share = callerQueueShare * limit
    if (share === 0 || waiting + tasks.length <= share) return undefined
    const callerTasks = pool.queue.sizeOf(tasks[0]?.caller ?? '')
    if (callerTasks === waiting || callerTasks + tasks.length <= share) return undefined
    return refuse(pool, Reason.CALLER_LIMIT, "The caller's share of the queue is used up.")
  }

  private noEndpoint(): TaskResult {
    return {
      outcome: Outcome.NOT_RUN,
      reason: this.ctx.draining ? Reason.DRAINING : Reason.NO_ENDPOINT,
      detail: 'No endpoint of the service is known here now.',
      retryAfterMs: this.ctx.timing.heartbeatMs,
    }
  }
}

function refuse(pool: ServicePool, reason: Reason, detail: string): TaskResult {
  const retryAfterMs = Math.ceil(pool.predictWaitMs(Math.max(1, pool.slots), 0))
  return { outcome: Outcome.NOT_RUN, reason, detail, retryAfterMs }
}

function refusalOfTask(now: number, pool: ServicePool, task: TaskRecord): TaskResult | undefined {
  if (task.deadlineAt <= now) {
    const detail = 'The deadline passed before the task was queued.'
    return { outcome: Outcome.NOT_RUN, reason: Reason.DEADLINE_PASSED, detail }
  }
  if (pool.endpoints.size === 0) return undefined
  for (const record of pool.endpoints) {
    if (record.couldHold(task.resources)) return undefined
  }
  const detail = 'No worker known here is large enough for the task.'
  return { outcome: Outcome.NOT_RUN, reason: Reason.NEVER_FITS, detail }
}

function makeTask(now: number, job: JobRecord, placed: PlacedTask, deadlineAt: number): TaskRecord {
  const taskId = formatTaskId(job.jobId, placed.index)
  // Without a specification the task names no service, and is refused for lack of an endpoint.
  const spec = placed.spec ?? create(TaskSpecSchema)
  return new TaskRecord(taskId, job, deadlineAt, now, placed, spec)
}
