/** One hop of a trace, as the state machines report it; telemetry exports it. @public */
export interface SpanRecord {
  readonly name: string
  readonly traceId: string
  readonly spanId: string
  /** Empty for a root. */
  readonly parentSpanId: string
  /** Milliseconds since the epoch. */
  readonly startMs: number
  readonly endMs: number
  readonly ok: boolean
  readonly attributes: Readonly<Record<string, string | number | boolean>>
}
