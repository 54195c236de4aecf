import type { Route } from '@cherryhitch/protocol'
import type { Job } from '../jobs/Job'

/**
 * What is spent beside waiting and working, in milliseconds: the ways between caller, entry, leader and
 * endpoint, the order to start, and noticing the end.
 */
const PATH_MS = 25
/**
 * Share of the slack that grows with the work which is kept back: estimates are off, and a job that
 * turns out shorter has less slack. Without both margins, jobs that wait for places start at their
 * last moment and are just late.
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
