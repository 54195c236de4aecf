/** Destinations, sampling and limits of spans; times in milliseconds. @public */
export interface TracerOptions {
  readonly instance: string
  readonly zone?: string
  /** File that spans are appended to as lines of JSON. */
  readonly file?: string
  /** Collector URL for OTLP over HTTP, such as `http://10.0.0.5:4318/v1/traces`. */
  readonly otlpUrl?: string
  /** Fraction of traces to keep, 0 to 1; the spans of a trace are kept or dropped together. */
  readonly sampleRatio?: number
  /** Most spans queued for the collector; further ones are dropped. */
  readonly maxQueuedSpans?: number
  readonly maxBatchSpans?: number
  /** Interval at which queued spans are exported. */
  readonly flushMs?: number
  /** Time limit of one request to the collector, including its retries. */
  readonly exportTimeoutMs?: number
  /** Time limit for exporting the remaining spans on close. */
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
