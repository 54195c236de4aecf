import type { Job } from '../jobs/Job'
import { latestStart } from './latestStart'

/** Queue discipline: decides which waiting job gets the next free slot. @public */
export abstract class QueuePolicy {
  /** The job with the smallest rank goes first. */
  abstract rank(now: number, job: Job): number
  /** The last instant at which the rank of an unchanged job is valid; Infinity by default. */
  rankValidUntil(_now: number, _job: Job): number {
    return Infinity
  }
}

/** First come, first served, as a baseline. @public */
export class FifoPolicy extends QueuePolicy {
  override rank(_now: number, job: Job): number {
    return job.arrivedAt
  }
}

/** @public */
export interface LeastSlackPolicyOptions {
  /** Whether jobs with tasks that run or are done go before all others. */
  readonly inProgressFirst: boolean
}

/** @public */
export const defaultLeastSlackPolicyOptions: LeastSlackPolicyOptions = {
  inProgressFirst: true,
}

/** Base of the ranks of jobs that can no longer be in time, in milliseconds. */
const LATE_RANK_BASE = 1e15
/** Offset by which jobs in progress are ranked before all others, in milliseconds. */
const IN_PROGRESS_LEAD = 1e12

/**
 * Least slack first: the job with the earliest latest start goes first. Jobs with tasks that run or
 * are done go before all others, since the work spent on them is lost if the rest ends too late.
 * Jobs that can no longer be in time go last, shortest first, so that they don't make others late.
 *
 * @public
 */
export class LeastSlackPolicy extends QueuePolicy {
  readonly #options: LeastSlackPolicyOptions

  constructor(options: Partial<LeastSlackPolicyOptions> = {}) {
    super()
    this.#options = { ...defaultLeastSlackPolicyOptions, ...options }
  }

  override rank(now: number, job: Job): number {
    const remainingMs = job.remainingMs()
    const latest = latestStart(job, remainingMs)
    if (this.#options.inProgressFirst && job.isInProgress) return latest - IN_PROGRESS_LEAD
    return now <= latest ? latest : LATE_RANK_BASE + remainingMs
  }

  /** The rank of a job that can be in time is its latest start, and expires at that time. */
  override rankValidUntil(now: number, job: Job): number {
    const rank = this.rank(now, job)
    return rank >= now && rank < LATE_RANK_BASE ? rank : Infinity
  }
}
