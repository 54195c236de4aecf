const DIGITS = 8
const RANGE = 16 ** DIGITS

/**
 * Decides by the trace id alone, so that all instances keep or drop a trace as a whole.
 *
 * @param ratio - share of traces that are kept, 0 to 1
 */
export function isSampled(traceId: string, ratio: number): boolean {
  return Number.parseInt(traceId.slice(-DIGITS), 16) < ratio * RANGE
}
