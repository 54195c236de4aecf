import { hash64 } from '@cherryhitch/model'
import { Outcome, Reason } from '@cherryhitch/protocol'
import type { Dispatcher } from '../dispatch/Dispatcher'
import type { OwnerContext } from '../OwnerContext'
import { DelayedTasks } from '../tasks/DelayedTasks'
import type { TaskRecord } from '../tasks/TaskRecord'
import { TaskPhase } from '../tasks/TaskRecord'
import type { TaskSettler } from './TaskSettler'

/** After a refusal, other endpoints are preferred for the task for this long. */
const REFUSAL_AVOIDANCE_MS = 1000
const JITTER_HEX_DIGITS = 8
const JITTER_RANGE = 16 ** JITTER_HEX_DIGITS

/**
 * Handles dispatched tasks that provably did not run: retries them within the retry budget, or
 * reports them as not run.
 *
 * @internal
 */
export class NotRunHandler {
  private readonly delayed = new DelayedTasks()

  constructor(
    private readonly ctx: OwnerContext,
    private readonly settler: TaskSettler,
    private readonly dispatcher: Dispatcher,
  ) {}

  /** The endpoint refused the task, or no connection to it was made. */
  handleRefusal(now: number, task: TaskRecord, detail: string): void {
    task.refusedBy = task.endpoint?.endpoint
    task.refusedUntil = now + REFUSAL_AVOIDANCE_MS
    this.retryOrSettle(now, task, detail)
  }

  /** The endpoint never received the task, and has fenced its id. */
  handleFenced(now: number, task: TaskRecord): void {
    const endpoint = task.endpoint?.endpoint
    if (endpoint !== undefined) task.fencedEndpoints = [...task.fencedEndpoints, endpoint]
    this.retryOrSettle(now, task, 'The request never reached the endpoint.')
  }

  /** Returns tasks to their queues when their retry delay has passed. */
  tick(now: number): void {
    for (;;) {
      const task = this.delayed.popDue(now)
      if (task === undefined) return
      this.ctx.poolOf(task.service).delayedTasks--
      if (task.deadlineAt <= now) this.dispatcher.expire(now, task)
      else this.dispatcher.enqueue(now, task)
    }
  }

  private retryOrSettle(now: number, task: TaskRecord, detail: string): void {
    if (task.reportClosed) {
      this.settler.settle(now, task, { outcome: Outcome.NOT_RUN })
      return
    }
    this.settler.release(now, task, false)
    const delay = this.delayBeforeRetry(now, task)
    if (typeof delay === 'number') this.retry(now, task, delay)
    else this.settler.settle(now, task, { outcome: Outcome.NOT_RUN, ...delay, detail })
  }

  /** @returns the delay in milliseconds, or the reason why the task is not retried */
  private delayBeforeRetry(now: number, task: TaskRecord): number | RetryDenial {
    if (task.deadlineAt <= now) return { reason: Reason.DEADLINE_PASSED }
    const retryAfterMs = this.ctx.timing.heartbeatMs
    if (!this.hasEligibleEndpoint(task)) return { reason: Reason.ENDPOINT_REFUSED, retryAfterMs }
    const delay = this.ctx.retryBudget.takeRetry(now, task.retries, retryJitter(task))
    return delay ?? { reason: Reason.RETRY_BUDGET, retryAfterMs }
  }

  private hasEligibleEndpoint(task: TaskRecord): boolean {
    if (task.fencedEndpoints.length === 0) return true
    for (const record of this.ctx.poolOf(task.service).endpoints) {
      const fenced = task.fencedEndpoints.includes(record.endpoint)
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
    this.ctx.poolOf(task.service).delayedTasks++
    this.delayed.push(now + delay, task)
  }
}

interface RetryDenial {
  readonly reason: Reason
  readonly retryAfterMs?: number
}

/** Jitter from 0 to 1, derived from the task's id so that the state machine stays deterministic. */
function retryJitter(task: TaskRecord): number {
  const digits = hash64(`${task.taskId}/${task.retries}`).slice(0, JITTER_HEX_DIGITS)
  return parseInt(digits, 16) / JITTER_RANGE
}
