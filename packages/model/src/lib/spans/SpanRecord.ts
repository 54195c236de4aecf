/** One span of a trace, reported by the state machines and exported by telemetry. @public */
export interface SpanRecord {
  readonly name: string
  readonly traceId: string
  readonly spanId: string
  /** Empty for a root span. */
  readonly parentSpanId: string
  /** Milliseconds since the epoch. */
  readonly startMs: number
  readonly endMs: number
  readonly ok: boolean
  readonly attributes: Readonly<Record<string, string | number | boolean>>
}
