import { hash64 } from '@cherryhitch/model'
import { Outcome, Reason } from '@cherryhitch/protocol'
import type { Dispatcher } from '../dispatch/Dispatcher'
import type { OwnerContext } from '../OwnerContext'
import { DelayedTasks } from '../tasks/DelayedTasks'
import type { TaskRecord } from '../tasks/TaskRecord'
import { TaskPhase } from '../tasks/TaskRecord'
import type { TaskEnds } from './TaskEnds'

/** An endpoint that refused a task gets the same one again only after this. */
const AVOID_MS = 1000
const DRAW_DIGITS = 8
const DRAW_RANGE = 16 ** DRAW_DIGITS

/** Dispatched tasks that truly did not run: tried again from the budget, or reported so. @internal */
export class NotRunTasks {
  private readonly delayed = new DelayedTasks()

  constructor(
    private readonly ctx: OwnerContext,
    private readonly ends: TaskEnds,
    private readonly dispatcher: Dispatcher,
  ) {}

  /** Its endpoint refused it, or was never reached. */
  refused(now: number, task: TaskRecord, detail: string): void {
    task.refusedBy = task.endpoint?.endpoint
    task.refusedUntil = now + AVOID_MS
    this.again(now, task, detail)
  }

  /** Its endpoint never saw it, and has fenced its id. */
  fenced(now: number, task: TaskRecord): void {
    const endpoint = task.endpoint?.endpoint
    if (endpoint !== undefined) task.fencedAt = [...task.fencedAt, endpoint]
    this.again(now, task, 'The request never reached the endpoint.')
  }

  /** Tasks whose delay is over go back to their queues. */
  tick(now: number): void {
    for (;;) {
      const task = this.delayed.popDue(now)
      if (task === undefined) return
      this.ctx.lane(task.service).delayed--
      if (task.deadlineAt <= now) this.dispatcher.expire(now, task)
      else this.dispatcher.enqueue(now, task)
    }
  }

  private again(now: number, task: TaskRecord, detail: string): void {
    if (task.muted) {
      this.ends.settle(now, task, { outcome: Outcome.NOT_RUN })
      return
    }
    this.ends.release(now, task, false)
    const delay = this.delayBeforeRetry(now, task)
    if (typeof delay === 'number') this.retry(now, task, delay)
    else this.ends.settle(now, task, { outcome: Outcome.NOT_RUN, ...delay, detail })
  }

  /** @returns the delay, or why there is no other try */
  private delayBeforeRetry(now: number, task: TaskRecord): number | RefusedRetry {
    if (task.deadlineAt <= now) return { reason: Reason.DEADLINE_PASSED }
    const retryAfterMs = this.ctx.timing.heartbeatMs
    if (!this.hasPlaceLeft(task)) return { reason: Reason.ENDPOINT_REFUSED, retryAfterMs }
    const delay = this.ctx.retries.takeRetry(now, task.retries, draw(task))
    return delay ?? { reason: Reason.RETRY_BUDGET, retryAfterMs }
  }

  private hasPlaceLeft(task: TaskRecord): boolean {
    if (task.fencedAt.length === 0) return true
    for (const record of this.ctx.lane(task.service).endpoints) {
      const fenced = task.fencedAt.includes(record.endpoint)
      if (!fenced && !record.leaving && record.couldHold(task.resources)) return true
    }
    return false
  }

  private retry(now: number, task: TaskRecord, delay: number): void {
    this.ctx.counters.retried++
    task.retries++
    task.started = false
    if (delay <= 0) {
      this.dispatcher.enqueue(now, task)
      return
    }
    task.phase = TaskPhase.Delayed
    this.ctx.lane(task.service).delayed++
    this.delayed.push(now + delay, task)
  }
}

interface RefusedRetry {
  readonly reason: Reason
  readonly retryAfterMs?: number
}

/** A number from 0 to 1 for the jitter, drawn from the task's id so that the machine stays pure. */
function draw(task: TaskRecord): number {
  const digits = hash64(`${task.taskId}/${task.retries}`).slice(0, DRAW_DIGITS)
  return parseInt(digits, 16) / DRAW_RANGE
}
