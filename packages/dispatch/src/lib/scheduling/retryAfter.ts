import { hash64 } from '@cherryhitch/model'

/** Callers are told whole seconds; an earlier return than after one can't be asked for. */
const LEAST_MS = 1_000
/** Nobody waits longer for a backlog of sub-second tasks, in milliseconds. */
const MOST_MS = 5_000
/** The returning callers are spread over this, so that they don't come together. */
const SPREAD_MS = 2_000
/** Numbers that the last digits of a hash can be. */
const HASH_DIGITS = 4
const HASHES = 16 ** HASH_DIGITS

/**
 * When a refused caller does best to come back: when the backlog that kept it out is gone, and not
 * with all the others.
 *
 * @param lateByMs - how much too late it would have started
 * @returns milliseconds
 * @internal
 */
export function retryAfter(jobId: string, lateByMs: number): number {
  const share = parseInt(hash64(jobId).slice(-HASH_DIGITS), 16) / HASHES
  const backlogMs = Math.min(MOST_MS, Math.max(LEAST_MS, lateByMs))
  return Math.round(backlogMs + share * SPREAD_MS)
}
