import { groupBy } from '@cherryhitch/model'
import { create } from '@bufbuild/protobuf'
import type { PlacedTask } from '@cherryhitch/protocol'
import { Outcome, PlacedTaskSchema, Reason } from '@cherryhitch/protocol'
import type { ServiceLane } from '../dispatch/ServiceLane'
import type { TaskEnds } from '../outcomes/TaskEnds'
import type { OwnerContext } from '../OwnerContext'
import type { JobRecord, TaskRecord } from '../tasks/TaskRecord'

/**
 * Empties the queue of a service that has no endpoint here any more, or of a draining owner: the
 * tasks go to the new owner, or are reported as truly not run when there is none.
 *
 * @internal
 */
export class QueueMover {
  private turn = 0

  constructor(
    private readonly ctx: OwnerContext,
    private readonly ends: TaskEnds,
  ) {}

  run(now: number): void {
    for (const lane of this.ctx.dirtyLanes) {
      const stays = lane.endpoints.size > 0 && !this.ctx.draining
      if (!stays && lane.queue.size > 0) this.empty(now, lane)
    }
  }

  /** Reports every waiting task of a service as truly not run. */
  refuseAll(now: number, lane: ServiceLane, reason: Reason, detail: string): void {
    const retryAfterMs = this.ctx.timing.heartbeatMs
    for (const task of takeAll(lane)) {
      this.ends.settle(now, task, { outcome: Outcome.NOT_RUN, reason, detail, retryAfterMs })
    }
  }

  private empty(now: number, lane: ServiceLane): void {
    const targets = this.ctx.successorsOf(lane.service)
    if (targets.length === 0) {
      const reason = this.ctx.draining ? Reason.DRAINING : Reason.NO_ENDPOINT
      this.refuseAll(now, lane, reason, 'Nobody here serves the queue any more.')
      return
    }
    for (const [job, tasks] of groupBy(takeAll(lane), (task) => task.job)) {
      const target = targets[this.turn++ % targets.length]
      if (target !== undefined) this.passOn(now, target, job, tasks)
    }
    if (lane.isEmpty) this.ctx.lanes.delete(lane.service)
  }

  /** Forgets the tasks here before anybody else may queue them. */
  private passOn(now: number, target: string, job: JobRecord, tasks: readonly TaskRecord[]): void {
    this.ctx.counters.tasksPassedOn += tasks.length
    for (const task of tasks) this.rememberPassed(now, task, target)
    this.ctx.memory.rememberPassedJob(now, job.jobId, target)
    const deadlineAt = Math.min(...tasks.map((task) => task.deadlineAt))
    this.ctx.outbox.send(target, {
      case: 'placeTasks',
      value: {
        jobId: job.jobId,
        caller: job.caller,
        deadlineInMs: deadlineAt - now,
        idempotent: job.idempotent,
        jobRemaining: job.remaining,
        tasks: tasks.map(toPlaced),
        traceparent: job.traceparent,
        coordinator: job.coordinator,
        ownerBoot: this.ctx.ownership.bootOf(target),
      },
    })
  }

  private rememberPassed(now: number, task: TaskRecord, target: string): void {
    this.ctx.book.remove(task)
    this.ctx.memory.remember({
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

function takeAll(lane: ServiceLane): readonly TaskRecord[] {
  const tasks = [...lane.queue.tasks()]
  for (const task of tasks) lane.queue.remove(task.taskId)
  return tasks
}

function toPlaced(task: TaskRecord): PlacedTask {
  return create(PlacedTaskSchema, {
    index: task.index,
    spec: task.spec,
    estimateMs: task.estimateMs,
    attempt: task.attempt,
  })
}
