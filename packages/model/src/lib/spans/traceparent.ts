import { hash64 } from '../util/hash64'

/** The fields of a W3C `traceparent` that are used here. @public */
export interface Traceparent {
  /** 32 hexadecimal digits. */
  readonly traceId: string
  /** 16 hexadecimal digits: the span of the sender. */
  readonly spanId: string
}

const traceparentPattern = /^00-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}$/
const SAMPLED = '01'

/** Parses a W3C `traceparent`; undefined if it is empty or malformed. @public */
export function parseTraceparent(text: string): Traceparent | undefined {
  const found = traceparentPattern.exec(text)
  const traceId = found?.[1]
  const spanId = found?.[2]
  if (traceId === undefined || spanId === undefined) return undefined
  return { traceId, spanId }
}

/**
 * Derives a span id from a string that is unique in the system, such as a task id and a hop. It is
 * not random, so that state machines stay pure.
 *
 * @public
 */
export function deriveSpanId(seed: string): string {
  return hash64(seed)
}

/** Creates a `traceparent` for a new trace. @public */
export function rootTraceparent(seed: string): string {
  const traceId = hash64(`${seed}/high`) + hash64(`${seed}/low`)
  return `00-${traceId}-${deriveSpanId(seed)}-${SAMPLED}`
}

/**
 * Creates a `traceparent` in the trace of its parent, with a span id derived from the seed. Starts a
 * new trace if the parent is empty or malformed.
 *
 * @public
 */
export function deriveTraceparent(parent: string, seed: string): string {
  const traceId = parseTraceparent(parent)?.traceId
  if (traceId === undefined) return rootTraceparent(seed)
  return `00-${traceId}-${deriveSpanId(seed)}-${SAMPLED}`
}
