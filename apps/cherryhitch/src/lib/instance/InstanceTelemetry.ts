import type { SpanRecord } from '@cherryhitch/model'

/** Metrics in the text format of the scraper. @public */
export interface MetricsText {
  readonly contentType: string
  readonly body: string
}

/** Receives the log lines, spans and counters of an instance. @public */
export abstract class InstanceTelemetry {
  /** Logs a line, prefixed with the name of the part. */
  abstract log(part: string, line: string): void
  abstract recordSpan(span: SpanRecord): void
  /** Registers the counters of a part; `read` is called whenever metrics are rendered. */
  abstract registerCounters(part: string, read: () => Readonly<Record<string, number>>): void
  abstract renderMetrics(): Promise<MetricsText>
}

/** Passes log lines to a function and discards spans and metrics; for demos and tests. @public */
export class LogOnlyTelemetry extends InstanceTelemetry {
  constructor(private readonly sink: (line: string) => void = () => undefined) {
    super()
  }

  override log(part: string, line: string): void {
    this.sink(`${part}: ${line}`)
  }

  override recordSpan(): void {
    // Spans are discarded.
  }

  override registerCounters(): void {
    // Counters are read from the instance itself.
  }

  override renderMetrics(): Promise<MetricsText> {
    return Promise.resolve({ contentType: 'text/plain', body: '' })
  }
}
