import type { Route } from '@cherryhitch/protocol'
import type { Job } from '../jobs/Job'

/**
 * Overhead of a job besides queueing and run time, in milliseconds: transit between caller,
 * entry, leader and endpoint, the start order, and detection of the end.
 */
const PATH_OVERHEAD_MS = 25
/**
 * Share of the run-time-proportional slack that is kept in reserve: estimates are imprecise, and a
 * job that turns out shorter than estimated has less slack. Without this reserve and the path
 * overhead, jobs that wait for slots start at the last moment and end slightly late.
 */
const RESERVED_SLACK_SHARE = 0.25

/**
 * Safety margin before a job's latest start, in milliseconds.
 *
 * @internal
 */
export function startMargin({ stretch }: Route, chainMs: number): number {
  return PATH_OVERHEAD_MS + RESERVED_SLACK_SHARE * Math.max(0, stretch - 1) * chainMs
}

/**
 * The last instant at which the rest of a job can start and still meet its objective.
 *
 * @param remainingMs - the result of `job.remainingMs()`, passed in because callers need it as well
 *   and computing it visits every task
 * @internal
 */
export function latestStart({ objectiveAt, startMarginMs }: Job, remainingMs: number): number {
  return objectiveAt - remainingMs - startMarginMs
}
