import type { SpanRecord } from '@cherryhitch/model'
import type { Logger, Metrics, Tracer } from '@cherryhitch/telemetry'
import type { MetricsText } from '../instance/InstanceTelemetry'
import { InstanceTelemetry } from '../instance/InstanceTelemetry'

/** Logs, metrics and traces of the daemon. @internal */
export class ServedTelemetry extends InstanceTelemetry {
  constructor(
    private readonly logger: Logger,
    private readonly metrics: Metrics,
    private readonly tracer: Tracer,
  ) {
    super()
  }

  override log(part: string, line: string): void {
    this.logger.forPart(part).info(line)
  }

  override recordSpan(span: SpanRecord): void {
    this.tracer.record(span)
  }

  override registerCounters(part: string, read: () => Readonly<Record<string, number>>): void {
    const help = `Counted by the part ${part}; see docs/operators.md.`
    this.metrics.registerCounters(part, help, read)
  }

  override renderMetrics(): Promise<MetricsText> {
    return this.metrics.render()
  }
}
