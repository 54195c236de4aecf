const HEX_DIGITS = 8
const RANGE = 16 ** HEX_DIGITS

/**
 * Samples by the trace id alone, so that all instances make the same decision for a trace.
 *
 * @param ratio - fraction of traces to keep, 0 to 1
 */
export function isSampled(traceId: string, ratio: number): boolean {
  return Number.parseInt(traceId.slice(-HEX_DIGITS), 16) < ratio * RANGE
}
