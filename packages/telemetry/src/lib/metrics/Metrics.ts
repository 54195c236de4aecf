import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import { MetricKind, metricKind, metricName } from './metricName'

/** @public */
export interface MetricsOptions {
  readonly instance: string
  readonly zone: string
}

/** Metrics in the Prometheus text format. @public */
export interface MetricsText {
  readonly contentType: string
  readonly body: string
}

/** Records observations in a histogram. @public */
export interface HistogramHandle {
  observe(value: number, labels?: Readonly<Record<string, string>>): void
}

/** Returns the current counters and gauges of a part. @public */
export type ReadCounters = () => Readonly<Record<string, number>>

interface Source {
  readonly help: string
  readonly read: ReadCounters
}

const PREFIX = 'cherryhitch_'
/**
 * Sampling interval of the event loop delay. Each sample wakes the process, so the library's
 * default would keep an idle process busy.
 */
const EVENT_LOOP_SAMPLE_MS = 1_000

/** The metrics of one process, in their own registry. @public */
export class Metrics {
  readonly #registry = new Registry()
  readonly #sources = new Map<string, Source>()
  readonly #metrics = new Map<string, Counter | Gauge>()
  readonly #failures: Counter

  constructor({ instance, zone }: MetricsOptions) {
    this.#registry.setDefaultLabels({ instance, zone })
    const eventLoopMonitoringPrecision = EVENT_LOOP_SAMPLE_MS
    collectDefaultMetrics({ register: this.#registry, eventLoopMonitoringPrecision })
    this.#failures = new Counter({
      name: `${PREFIX}metrics_failed_reads_total`,
      help: 'Parts whose numbers could not be read.',
      registers: [this.#registry],
    })
  }

  /**
   * Exposes the counters and gauges of a part as `cherryhitch_<part>_<key>`. They are read at each
   * scrape, so keys may be added later. `metricKind` decides whether a key is a counter or a
   * gauge, and `metricName` gives the exposed name. Registering a part again replaces it.
   */
  registerCounters(part: string, help: string, read: ReadCounters): void {
    this.#sources.set(part, { help, read })
  }

  /** Creates histogram `cherryhitch_<name>`; buckets are upper bounds in the unit of its values. */
  histogram(
    name: string,
    help: string,
    buckets: readonly number[],
    labelNames: readonly string[] = [],
  ): HistogramHandle {
    const histogram = new Histogram({
      name: `${PREFIX}${name}`,
      help,
      buckets: [...buckets],
      labelNames: [...labelNames],
      registers: [this.#registry],
    })
    return {
      observe: (value, labels = {}) => {
        histogram.observe({ ...labels }, value)
      },
    }
  }

  async render(): Promise<MetricsText> {
    for (const [part, source] of this.#sources) this.#readSource(part, source)
    return { contentType: this.#registry.contentType, body: await this.#registry.metrics() }
  }

  /** Removes all metrics and stops the observers of the default metrics. */
  close(): void {
    this.#registry.clear()
  }

  /** A part that fails to read is counted and must not hide the others. */
  #readSource(part: string, { help, read }: Source): void {
    try {
      for (const [key, value] of Object.entries(read())) this.#setMetric(part, key, help, value)
    } catch {
      this.#failures.inc()
    }
  }

  #setMetric(part: string, key: string, help: string, value: number): void {
    const name = metricName(part, key)
    const metric = this.#metrics.get(name) ?? this.#createMetric(name, key, help)
    if (metric instanceof Gauge) {
      metric.set(value)
      return
    }
    // The part itself counts; this counter mirrors its total.
    metric.reset()
    metric.inc(value)
  }

  #createMetric(name: string, key: string, help: string): Counter | Gauge {
    const options = { name, help: `${help} (${key})`, registers: [this.#registry] }
    const isGauge = metricKind(key) === MetricKind.Gauge
    const metric = isGauge ? new Gauge(options) : new Counter(options)
    this.#metrics.set(name, metric)
    return metric
  }
}

/** @public */
export function createMetrics(options: MetricsOptions): Metrics {
  return new Metrics(options)
}
