import { groupBy } from '@cherryhitch/model'
import { create } from '@bufbuild/protobuf'
import type { PlacedTask } from '@cherryhitch/protocol'
import { Outcome, PlacedTaskSchema, Reason } from '@cherryhitch/protocol'
import type { ServicePool } from '../dispatch/ServicePool'
import type { TaskSettler } from '../outcomes/TaskSettler'
import type { OwnerContext } from '../OwnerContext'
import type { JobRecord, TaskRecord } from '../tasks/TaskRecord'

/**
 * Empties the queue of a service that has no endpoint here any more, or of a draining owner: the
 * tasks are forwarded to the new owner, or reported as not run if there is none.
 *
 * @internal
 */
export class QueueMover {
  private nextTarget = 0

  constructor(
    private readonly ctx: OwnerContext,
    private readonly settler: TaskSettler,
  ) {}

  run(now: number): void {
    for (const pool of this.ctx.dirtyPools) {
      if (this.ctx.isZoneDrained) {
        // All owners of the zone are drained, so coordinators have to place the tasks elsewhere.
        this.refuseAll(now, pool, Reason.DRAINING, 'The availability zone is drained.')
        continue
      }
      const isServedHere = pool.endpoints.size > 0 && !this.ctx.draining
      if (!isServedHere && pool.queue.size > 0) this.emptyQueue(now, pool)
    }
  }

  /** Reports every queued task of a service as not run. */
  refuseAll(now: number, pool: ServicePool, reason: Reason, detail: string): void {
    const retryAfterMs = this.ctx.timing.heartbeatMs
    for (const task of takeAll(pool)) {
      this.settler.settle(now, task, { outcome: Outcome.NOT_RUN, reason, detail, retryAfterMs })
    }
  }

  private emptyQueue(now: number, pool: ServicePool): void {
    const targets = this.ctx.successorsOf(pool.service)
    if (targets.length === 0) {
      const reason = this.ctx.draining ? Reason.DRAINING : Reason.NO_ENDPOINT
      this.refuseAll(now, pool, reason, 'Nobody here serves the queue any more.')
      return
    }
    for (const [job, tasks] of groupBy(takeAll(pool), (task) => task.job)) {
      const target = targets[this.nextTarget++ % targets.length]
      if (target !== undefined) this.forward(now, target, job, tasks)
    }
    if (pool.isEmpty) this.ctx.pools.delete(pool.service)
  }

  /** Removes the tasks here before sending them, so that only one owner has them queued. */
  private forward(now: number, target: string, job: JobRecord, tasks: readonly TaskRecord[]): void {
    this.ctx.counters.tasksPassedOn += tasks.length
    for (const task of tasks) this.recordForwarded(now, task, target)
    this.ctx.history.recordPassedOnJob(now, job.jobId, target)
    const deadlineAt = Math.min(...tasks.map((task) => task.deadlineAt))
    this.ctx.outbox.send(target, {
      case: 'placeTasks',
      value: {
        jobId: job.jobId,
        caller: job.caller,
        deadlineInMs: deadlineAt - now,
        idempotent: job.idempotent,
        jobRemaining: job.remaining,
        tasks: tasks.map(toPlacedTask),
        traceparent: job.traceparent,
        coordinator: job.coordinator,
        ownerBoot: this.ctx.ownership.bootOf(target),
      },
    })
  }

  private recordForwarded(now: number, task: TaskRecord, target: string): void {
    this.ctx.registry.remove(task)
    this.ctx.history.record({
      taskId: task.taskId,
      at: now,
      attempt: task.attempt,
      notRun: true,
      coordinator: task.job.coordinator,
      report: undefined,
      released: false,
      passedTo: target,
    })
  }
}

function takeAll(pool: ServicePool): readonly TaskRecord[] {
  const tasks = [...pool.queue.tasks()]
  for (const task of tasks) pool.queue.remove(task.taskId)
  return tasks
}

function toPlacedTask(task: TaskRecord): PlacedTask {
  return create(PlacedTaskSchema, {
    index: task.index,
    spec: task.spec,
    estimateMs: task.estimateMs,
    attempt: task.attempt,
  })
}
