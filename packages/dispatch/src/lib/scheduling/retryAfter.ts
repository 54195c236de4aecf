import { hash64 } from '@cherryhitch/model'

/** Least retry delay, in milliseconds: callers get it in whole seconds, so it is at least one. */
const MIN_BACKLOG_MS = 1_000
/** Upper bound on the wait for a backlog of sub-second tasks, in milliseconds. */
const MAX_BACKLOG_MS = 5_000
/** Range of the jitter that keeps refused callers from retrying all at once, in milliseconds. */
const JITTER_MS = 2_000
/**
 * Number of trailing hex digits of a hash that determine the jitter, and the values they can have.
 */
const HASH_DIGITS = 4
const HASH_VALUES = 16 ** HASH_DIGITS

/**
 * Recommended retry delay for a refused caller: the time until the backlog is gone, plus jitter.
 *
 * @param lateByMs - by how many milliseconds the job would have started too late
 * @returns delay in milliseconds
 * @internal
 */
export function retryAfter(jobId: string, lateByMs: number): number {
  const share = parseInt(hash64(jobId).slice(-HASH_DIGITS), 16) / HASH_VALUES
  const backlogMs = Math.min(MAX_BACKLOG_MS, Math.max(MIN_BACKLOG_MS, lateByMs))
  return Math.round(backlogMs + share * JITTER_MS)
}
