import { RankedQueue } from './RankedQueue'
import { ServiceRate } from './ServiceRate'
import type { QueuedTask } from './TaskQueue'
import type { WaitingJob } from './WaitingJob'

/** @public */
export interface DeadlineFairQueueOptions {
  /** Milliseconds by which each millisecond of a job's work postpones its due time. */
  readonly stretch: number
  /**
   * Postpones due times for a caller's waiting work beyond its fair share, as if that excess were
   * served this many times slower than the measured rate of the whole service.
   */
  readonly excessSlowdown: number
  /** Time before the latest start at which a job becomes urgent, in milliseconds. */
  readonly urgencyMs: number
}

/** See `docs/design/order.md` for the measurements, at 8 to 264 slots. @public */
export const defaultDeadlineFairQueueOptions: DeadlineFairQueueOptions = {
  stretch: 1,
  excessSlowdown: 2,
  urgencyMs: 0,
}

/**
 * Serves jobs by due time: the arrival plus a multiple (`stretch`) of the work that the job still
 * needs, or the latest start that meets the deadline, less a margin, when that is earlier.
 *
 * Small and nearly finished jobs therefore go first. Because due times are absolute, a waiting job
 * is overtaken only by jobs that arrive before its due time, so no job starves. A caller with more
 * than its fair share of the waiting work gets later due times. A job that can no longer meet its
 * deadline is served after all others until it expires.
 *
 * @public
 */
export class DeadlineFairQueue<T extends QueuedTask> extends RankedQueue<T> {
  private readonly options: DeadlineFairQueueOptions
  private readonly rate = new ServiceRate()

  constructor(options: Partial<DeadlineFairQueueOptions> = {}) {
    super()
    this.options = { ...defaultDeadlineFairQueueOptions, ...options }
  }

  override pop(now: number, fits: (task: T) => boolean): T | undefined {
    const task = super.pop(now, fits)
    if (task !== undefined) this.rate.recordPop(now, task.estimateMs, this.size > 0)
    return task
  }

  protected override rank(job: WaitingJob<T>): number {
    if (job.isInfeasible) return INFEASIBLE_RANK + job.deadlineAt
    const due = job.enqueuedAt + this.options.stretch * job.unstartedWorkMs + job.penaltyMs
    return Math.min(due, latestStart(job) - this.options.urgencyMs)
  }

  protected override onJobArrival(now: number, job: WaitingJob<T>): void {
    // Counts one additional caller; otherwise a single waiting caller could never exceed its share.
    const fairMs = this.tally.workMs / (this.tally.callers + 1)
    const excessMs = this.tally.of(job.caller).workMs - fairMs
    job.penaltyMs = (this.options.excessSlowdown * Math.max(0, excessMs)) / this.rate.read(now)
  }

  protected override adjustRank(now: number, job: WaitingJob<T>): boolean {
    if (job.isInfeasible || now <= latestStart(job)) return false
    job.isInfeasible = true
    return true
  }
}

/** Greater than any time, so that jobs that can't meet their deadline come after all others. */
const INFEASIBLE_RANK = 1e15

function latestStart<T extends QueuedTask>(job: WaitingJob<T>): number {
  return job.deadlineAt - job.longestMs
}
