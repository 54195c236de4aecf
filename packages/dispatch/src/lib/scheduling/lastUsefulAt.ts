import type { Job } from '../jobs/Job'

/** Answers are of no use to callers after this many times the objective. */
const MAX_USEFUL_OBJECTIVES = 3
/** Transit time of an answer from the leader to the caller, in milliseconds. */
const ANSWER_TRANSIT_MS = 15

/**
 * The last instant at which a job may end for its answer to reach the caller in useful time.
 *
 * @internal
 */
export function lastUsefulAt({ arrivedAt, objectiveAt, deadlineAt }: Job): number {
  const latest = arrivedAt + MAX_USEFUL_OBJECTIVES * (objectiveAt - arrivedAt)
  return Math.min(deadlineAt, latest) - ANSWER_TRANSIT_MS
}
