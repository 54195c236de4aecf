import type { SpanRecord } from '@cherryhitch/model'

/** Metrics in the format of the scraper. @public */
export interface MetricsText {
  readonly contentType: string
  readonly body: string
}

/** What an instance tells of itself: log lines, spans and counters. @public */
export abstract class InstanceTelemetry {
  /** Logs a short sentence; its prefix is the part's name. */
  abstract log(part: string, line: string): void
  abstract recordSpan(span: SpanRecord): void
  /** Reads the counters of a part whenever metrics are asked for. */
  abstract registerCounters(part: string, read: () => Readonly<Record<string, number>>): void
  abstract renderMetrics(): Promise<MetricsText>
}

/** Tells nobody but a function for log lines: for demos and tests. @public */
export class PlainTelemetry extends InstanceTelemetry {
  constructor(private readonly sink: (line: string) => void = () => undefined) {
    super()
  }

  override log(part: string, line: string): void {
    this.sink(`${part}: ${line}`)
  }

  override recordSpan(): void {
    // Spans are dropped.
  }

  override registerCounters(): void {
    // Counters are read from the instance itself.
  }

  override renderMetrics(): Promise<MetricsText> {
    return Promise.resolve({ contentType: 'text/plain', body: '' })
  }
}
