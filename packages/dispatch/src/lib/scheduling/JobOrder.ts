import type { Job } from '../jobs/Job'
import { latestStart } from './latestStart'

/** Which waiting job gets the next free place. @public */
export abstract class JobOrder {
  /** The job with the smallest rank goes first. */
  abstract rank(now: number, job: Job): number
}

/** First come, first served: the baseline. @public */
export class ArrivalOrder extends JobOrder {
  override rank(_now: number, job: Job): number {
    return job.arrivedAt
  }
}

/** Ranks of jobs that can't be in time any more begin here, in milliseconds. */
const LATE_RANK = 1e15

/**
 * The job that has to start first to be in time goes first. Those that can't be in time any more
 * get only what the others leave, the shortest first, so that they don't make others late.
 *
 * @public
 */
export class SlackOrder extends JobOrder {
  override rank(now: number, job: Job): number {
    const remainingMs = job.remainingMs()
    const latest = latestStart(job, remainingMs)
    return now <= latest ? latest : LATE_RANK + remainingMs
  }
}
