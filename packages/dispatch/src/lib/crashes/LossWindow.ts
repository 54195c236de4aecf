import type { EndpointRecord } from '../endpoints/EndpointRecord'

/**
 * Interval in which an endpoint may have been lost, in milliseconds: after its last answer, and
 * before a call was first left unanswered. Idle endpoints are polled less often, so their loss is
 * detected later than that of their neighbours.
 *
 * @internal
 */
export interface LossWindow {
  readonly after: number
  readonly until: number
}

/**
 * Returns the loss window of an endpoint; undefined if it is reachable, or if it has never answered
 * this leader.
 *
 * @internal
 */
export function lossWindow(endpoint: EndpointRecord): LossWindow | undefined {
  const { isSynced, isReplaced, unanswered, answeredAt, silentSince } = endpoint
  if (!isSynced || (unanswered === 0 && !isReplaced)) return undefined
  return { after: answeredAt, until: silentSince }
}

/**
 * Returns the largest number of endpoints that may have been lost at the same moment within a
 * window.
 *
 * @param window - one of `windows`
 * @internal
 */
export function maxConcurrentLosses(window: LossWindow, windows: readonly LossWindow[]): number {
  const starts = sorted(windows.map(({ after }) => after))
  const ends = sorted(windows.map(({ until }) => until))
  let [started, ended, most] = [0, 0, 0]
  for (const moment of ends) {
    while ((starts[started] ?? Infinity) < moment) started++
    while ((ends[ended] ?? Infinity) < moment) ended++
    const isWithin = window.after < moment && moment <= window.until
    if (isWithin) most = Math.max(most, started - ended)
  }
  return most
}

function sorted(times: readonly number[]): number[] {
  return [...times].sort((a, b) => a - b)
}
