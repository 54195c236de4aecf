import { hash64 } from '../util/hash64'

/** The fields of a W3C `traceparent` that are used here. @public */
export interface Traceparent {
  /** 32 hexadecimal digits. */
  readonly traceId: string
  /** 16 hexadecimal digits: the sender's span. */
  readonly spanId: string
}

const traceparentPattern = /^00-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}$/
const SAMPLED = '01'

/** Reads a W3C `traceparent`; undefined when it is missing or malformed. @public */
export function parseTraceparent(text: string): Traceparent | undefined {
  const found = traceparentPattern.exec(text)
  const traceId = found?.[1]
  const spanId = found?.[2]
  if (traceId === undefined || spanId === undefined) return undefined
  return { traceId, spanId }
}

/**
 * Derives a span id from a name that is unique in the system, such as a task id and a hop.
 * State machines stay pure this way: they draw no random numbers.
 *
 * @public
 */
export function deriveSpanId(seed: string): string {
  return hash64(seed)
}

/** A `traceparent` for a trace that starts here. @public */
export function rootTraceparent(seed: string): string {
  const traceId = hash64(`${seed}/high`) + hash64(`${seed}/low`)
  return `00-${traceId}-${deriveSpanId(seed)}-${SAMPLED}`
}

/** A `traceparent` of the same trace whose span id is derived from the seed. @public */
export function deriveTraceparent(parent: string, seed: string): string {
  const traceId = parseTraceparent(parent)?.traceId
  if (traceId === undefined) return rootTraceparent(seed)
  return `00-${traceId}-${deriveSpanId(seed)}-${SAMPLED}`
}
