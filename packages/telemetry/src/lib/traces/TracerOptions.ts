/** Where spans go, and how many; times in milliseconds. @public */
export interface TracerOptions {
  readonly instance: string
  readonly zone?: string
  /** Spans are appended to it as lines of JSON. */
  readonly file?: string
  /** OTLP over HTTP, such as `http://10.0.0.5:4318/v1/traces`. */
  readonly otlpUrl?: string
  /** Share of traces that are kept, 0 to 1; all hops of a trace share its fate. */
  readonly sampleRatio?: number
  /** Spans that wait for the collector; more are dropped. */
  readonly maxQueuedSpans?: number
  readonly maxBatchSpans?: number
  /** Pace at which waiting spans are sent. */
  readonly flushMs?: number
  /** How long one request to the collector may take, its retries included. */
  readonly exportTimeoutMs?: number
  /** How long closing may wait for the last spans to be sent. */
  readonly closeLimitMs?: number
}

/** @public */
export const defaultTracerOptions = {
  zone: '',
  sampleRatio: 1,
  maxQueuedSpans: 16_384,
  maxBatchSpans: 512,
  flushMs: 500,
  exportTimeoutMs: 5000,
  closeLimitMs: 2000,
} satisfies Partial<TracerOptions>
