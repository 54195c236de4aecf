import { RankedQueue } from './RankedQueue'
import { ServiceRate } from './ServiceRate'
import type { QueuedTask } from './TaskQueue'
import type { WaitingJob } from './WaitingJob'

/** @public */
export interface DeadlineFairQueueOptions {
  /** Milliseconds by which a job's due time moves back for each millisecond of its work. */
  readonly stretch: number
  /**
   * How many times slower than the whole service the caller's waiting work beyond its fair share
   * falls due. The service's rate is measured.
   */
  readonly excessSlowdown: number
  /** Time before the latest start at which a job becomes urgent, in milliseconds. */
  readonly urgencyMs: number
}

/** Measured against others in `docs/design/order.md`, at 8 to 264 slots. @public */
export const defaultDeadlineFairQueueOptions: DeadlineFairQueueOptions = {
  stretch: 1,
  excessSlowdown: 2,
  urgencyMs: 0,
}

/**
 * Serves jobs by due time: arrival plus a stretch of the work that they still need, or just
 * before their latest start when that is earlier.
 *
 * Small and nearly finished jobs go first that way, and since due times are instants, a waiting
 * job is overtaken only by jobs that arrive within its stretch: nothing starves. A caller with
 * more than its share of the waiting work gets later due times. A job that can no longer meet its
 * deadline lets all others go first until it expires.
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
    if (task !== undefined) this.rate.noteTaken(now, task.estimateMs, this.size > 0)
    return task
  }

  protected override rank(job: WaitingJob<T>): number {
    if (job.isHopeless) return HOPELESS_RANK + job.deadlineAt
    const due = job.enqueuedAt + this.options.stretch * job.unstartedWorkMs + job.penaltyMs
    return Math.min(due, latestStart(job) - this.options.urgencyMs)
  }

  protected override noteArrival(now: number, job: WaitingJob<T>): void {
    // One more caller is assumed to come, else the only one waiting could never have too much.
    const fairMs = this.tally.workMs / (this.tally.callers + 1)
    const excessMs = this.tally.of(job.caller).workMs - fairMs
    job.penaltyMs = (this.options.excessSlowdown * Math.max(0, excessMs)) / this.rate.read(now)
  }

  protected override postpone(now: number, job: WaitingJob<T>): boolean {
    if (job.isHopeless || now <= latestStart(job)) return false
    job.isHopeless = true
    return true
  }
}

/** Above any instant, so that such jobs come after all others. */
const HOPELESS_RANK = 1e15

function latestStart<T extends QueuedTask>(job: WaitingJob<T>): number {
  return job.deadlineAt - job.longestMs
}
