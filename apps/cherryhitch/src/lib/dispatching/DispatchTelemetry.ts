import type { DispatchSettings } from '@cherryhitch/settings'
import { createLogger, createMetrics } from '@cherryhitch/telemetry'
import type { HistogramHandle, Logger, Metrics, TelemetryError } from '@cherryhitch/telemetry'
import { Effect } from 'effect'
import type { Scope } from 'effect'

/** Upper bounds of the latency buckets, from one hop of 1 ms to the longest deadline. */
const LATENCY_BUCKETS_MS = [1, 2, 5, 10, 20, 35, 50, 75, 100, 150, 250, 400, 700, 1_500, 3_000]

/**
 * High enough for one line per finished request of a busy instance (some 200 a second), and for as
 * many lines again about errors.
 */
const LOG_LIMITS = { maxRepeats: 250, maxLines: 600 }

/** Logs and metrics of an entry or a dispatching instance. @internal */
export class DispatchTelemetry {
  private readonly latencies: HistogramHandle

  constructor(
    readonly logger: Logger,
    readonly metrics: Metrics,
  ) {
    this.latencies = metrics.histogram(
      'stage_ms',
      'Time that a request spends in a stage, in milliseconds.',
      LATENCY_BUCKETS_MS,
      ['stage', 'route'],
    )
  }

  measure(stage: string, route: string, ms: number): void {
    this.latencies.observe(ms, { stage, route })
  }

  /** A log function for parts that write lines without fields. */
  lineLogger(part: string): (line: string) => void {
    const log = this.logger.forPart(part)
    return (line) => {
      log.info(line)
    }
  }
}

/** @internal */
export function openDispatchTelemetry({
  name,
  zone,
}: DispatchSettings): Effect.Effect<DispatchTelemetry, TelemetryError, Scope.Scope> {
  return Effect.gen(function* () {
    const logger = yield* createLogger({ name: ['cherryhitch', name], limits: LOG_LIMITS })
    const metrics = createMetrics({ instance: name, zone })
    return new DispatchTelemetry(logger, metrics)
  })
}
