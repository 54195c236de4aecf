import type { Job } from '../jobs/Job'
import { latestStart } from './latestStart'

/** Which waiting job gets the next free place. @public */
export abstract class JobOrder {
  /** The job with the smallest rank goes first. */
  abstract rank(now: number, job: Job): number
  /** The last instant at which a job that stays as it is has its present rank; Infinity by default. */
  rankHoldsUntil(_now: number, _job: Job): number {
    return Infinity
  }
}

/** First come, first served: the baseline. @public */
export class ArrivalOrder extends JobOrder {
  override rank(_now: number, job: Job): number {
    return job.arrivedAt
  }
}

/** @public */
export interface SlackOrderOptions {
  /** Jobs of which some tasks run or are done go before all others. */
  readonly underWayFirst: boolean
}

/** @public */
export const defaultSlackOrderOptions: SlackOrderOptions = {
  underWayFirst: true,
}

/** Ranks of jobs that can't be in time any more begin here, in milliseconds. */
const LATE_RANK = 1e15
/** Ranks of jobs that are under way lie this far before those of the others, in milliseconds. */
const UNDER_WAY_LEAD = 1e12

/**
 * The job that has to start first to be in time goes first, and before all others one of which
 * some tasks run or are done: what they cost is lost if the rest comes too late. Those that can't be
 * in time any more get only what the others leave, the shortest first, so that they don't make others
 * late.
 *
 * @public
 */
export class SlackOrder extends JobOrder {
  readonly #options: SlackOrderOptions

  constructor(options: Partial<SlackOrderOptions> = {}) {
    super()
    this.#options = { ...defaultSlackOrderOptions, ...options }
  }

  override rank(now: number, job: Job): number {
    const remainingMs = job.remainingMs()
    const latest = latestStart(job, remainingMs)
    if (this.#options.underWayFirst && job.isUnderWay) return latest - UNDER_WAY_LEAD
    return now <= latest ? latest : LATE_RANK + remainingMs
  }

  /** The rank of a job that can be in time is its latest start: after that it can't. */
  override rankHoldsUntil(now: number, job: Job): number {
    const rank = this.rank(now, job)
    return rank >= now && rank < LATE_RANK ? rank : Infinity
  }
}
