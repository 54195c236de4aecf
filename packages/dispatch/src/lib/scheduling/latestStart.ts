import type { Route } from '@cherryhitch/protocol'
import type { Job } from '../jobs/Job'

/**
 * What is spent beside waiting and working: the ways between caller, entry, leader and endpoint
 * (some 12 ms on the users' platform), the order to start, and noticing the end.
 */
const PATH_MS = 25
/**
 * Share of the slack that grows with the work which is kept back, since estimates are off by 0.4
 * (standard deviation of the logarithm) and a job that turns out shorter has less slack. Without
 * both, at 1.5 times of what the places can do, 24 % of the jobs were in time and 66 % served, each
 * started at the last moment and just late; with both 66 % are in time (overload.test.ts).
 */
const KEPT_SHARE = 0.25

/**
 * What is kept back of a job's time before its last moment to start, in milliseconds.
 *
 * @internal
 */
export function startMargin({ stretch }: Route, chainMs: number): number {
  return PATH_MS + KEPT_SHARE * Math.max(0, stretch - 1) * chainMs
}

/**
 * The last instant at which the rest of a job can start and be in time.
 *
 * @param remainingMs - what `job.remainingMs()` gives; callers need it as well, and it looks at
 *   every task
 * @internal
 */
export function latestStart({ objectiveAt, startMarginMs }: Job, remainingMs: number): number {
  return objectiveAt - remainingMs - startMarginMs
}
