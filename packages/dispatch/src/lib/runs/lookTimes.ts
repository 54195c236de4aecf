import type { Run } from './Run'

/**
 * A run that takes this many times its estimate may have ended without our hearing of it: while
 * orders get lost, and otherwise. One sound run in two takes longer than its estimate, and one in
 * twenty twice as long; then a look costs two short messages. While orders get lost, a
 * job of many tasks is in time only if each lost answer is made up for at once.
 */
const LOSSY_FACTOR = 1.05
const CALM_FACTOR = 2
/** Orders count as getting lost for so long after one was, in milliseconds. */
const LOSSY_MS = 3_000
/** What the news of an end takes beside, in milliseconds: the way, and a busy instance. */
const NEWS_MS = 8
/** Pause until the next look: a share of the estimate, and a least one in milliseconds. */
const AGAIN_FACTOR = 0.4
const LEAST_PAUSE_MS = 25

/**
 * When to ask for a run that has just begun, as nothing was heard of its end.
 *
 * @param silenceAt - when an order was last taken for lost
 * @internal
 */
export function firstLookAt(now: number, { expectedMs }: Run, silenceAt: number): number {
  const factor = now - silenceAt < LOSSY_MS ? LOSSY_FACTOR : CALM_FACTOR
  return now + expectedMs * factor + NEWS_MS
}

/** When to ask again after a look. @internal */
export function lookAgainAt(now: number, { expectedMs }: Run): number {
  return now + Math.max(LEAST_PAUSE_MS, AGAIN_FACTOR * expectedMs)
}
