import type { Run } from './Run'

/**
 * Multiples of the estimate after which a run may have ended without the report reaching this
 * instance: while messages are being lost, and otherwise. One normal run in two takes longer than
 * its estimate, and one in twenty twice as long; each then costs a poll of two short messages.
 * While messages are being lost, a job of many tasks finishes in time only if each lost answer is
 * made up for at once.
 */
const LOSSY_FACTOR = 1.05
const RELIABLE_FACTOR = 2
/** For how long after an unanswered order messages count as being lost, in milliseconds. */
const LOSSY_PERIOD_MS = 3_000
/** Extra time for the report of an end, in milliseconds: network latency and a busy instance. */
const DELIVERY_MS = 8
/** Interval until the next poll: a fraction of the estimate, and a minimum in milliseconds. */
const REPEAT_FACTOR = 0.4
const MIN_REPEAT_MS = 25

/**
 * When to first poll for a run that has just started, unless its end is reported before.
 *
 * @param silenceAt - when an order last went unanswered
 * @internal
 */
export function firstPollAt(now: number, { expectedMs }: Run, silenceAt: number): number {
  const factor = now - silenceAt < LOSSY_PERIOD_MS ? LOSSY_FACTOR : RELIABLE_FACTOR
  return now + expectedMs * factor + DELIVERY_MS
}

/** When to poll again after a poll. @internal */
export function nextPollAt(now: number, { expectedMs }: Run): number {
  return now + Math.max(MIN_REPEAT_MS, REPEAT_FACTOR * expectedMs)
}
