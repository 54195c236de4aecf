import type { EndpointRecord } from '../endpoints/EndpointRecord'

/**
 * When an endpoint may have been lost, in milliseconds: after its last answer, and before an answer was
 * found missing. What is idle is asked seldom, so that its loss shows later than those of its neighbours.
 *
 * @internal
 */
export interface LossSpan {
  readonly after: number
  readonly until: number
}

/** Undefined for one that is there, or was gone before this leader asked it. @internal */
export function lossSpan(endpoint: EndpointRecord): LossSpan | undefined {
  const { isAdopted, isReplaced, unanswered, answeredAt, silentAt } = endpoint
  if (!isAdopted || (unanswered === 0 && !isReplaced)) return undefined
  return { after: answeredAt, until: silentAt }
}

/**
 * How many of several endpoints may have been lost at one and the same moment of a span.
 *
 * @param span - one of those given
 * @internal
 */
export function mostTogether(span: LossSpan, spans: readonly LossSpan[]): number {
  const starts = sorted(spans.map(({ after }) => after))
  const ends = sorted(spans.map(({ until }) => until))
  let [started, ended, most] = [0, 0, 0]
  for (const moment of ends) {
    while ((starts[started] ?? Infinity) < moment) started++
    while ((ends[ended] ?? Infinity) < moment) ended++
    const isWithin = span.after < moment && moment <= span.until
    if (isWithin) most = Math.max(most, started - ended)
  }
  return most
}

function sorted(times: readonly number[]): number[] {
  return [...times].sort((a, b) => a - b)
}
