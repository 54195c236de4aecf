import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import { MetricKind, metricKind, metricName } from './metricName'

/** @public */
export interface MetricsOptions {
  readonly instance: string
  readonly zone: string
}

/** Metrics in the text format of Prometheus. @public */
export interface MetricsText {
  readonly contentType: string
  readonly body: string
}

/** A distribution that values are added to. @public */
export interface HistogramHandle {
  observe(value: number, labels?: Readonly<Record<string, string>>): void
}

/** Present numbers of a part. @public */
export type ReadCounters = () => Readonly<Record<string, number>>

interface Source {
  readonly help: string
  readonly read: ReadCounters
}

const PREFIX = 'cherryhitch_'
/**
 * How often the delay of the event loop is looked at, in milliseconds. Each look wakes the process
 * up, so that the library's default would keep an idle one busy.
 */
const LOOP_DELAY_MS = 1_000

/** The metrics of one process, in a registry of their own. @public */
export class Metrics {
  readonly #registry = new Registry()
  readonly #sources = new Map<string, Source>()
  readonly #numbers = new Map<string, Counter | Gauge>()
  readonly #failures: Counter

  constructor({ instance, zone }: MetricsOptions) {
    this.#registry.setDefaultLabels({ instance, zone })
    const eventLoopMonitoringPrecision = LOOP_DELAY_MS
    collectDefaultMetrics({ register: this.#registry, eventLoopMonitoringPrecision })
    this.#failures = new Counter({
      name: `${PREFIX}metrics_failed_reads_total`,
      help: 'Parts whose numbers could not be read.',
      registers: [this.#registry],
    })
  }

  /**
   * Exposes the numbers of a part as `cherryhitch_<part>_<key>`; they are read at each scrape,
   * so keys may appear later. `metricName` tells how a key becomes a counter or a gauge.
   * Registering a part again replaces it.
   */
  registerCounters(part: string, help: string, read: ReadCounters): void {
    this.#sources.set(part, { help, read })
  }

  /** Makes a histogram `cherryhitch_<name>`; buckets are upper bounds in the unit of its values. */
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

  /** Forgets all metrics, and stops what the default ones observe. */
  close(): void {
    this.#registry.clear()
  }

  /** A part that can't be read must not hide the others. */
  #readSource(part: string, { help, read }: Source): void {
    try {
      for (const [key, value] of Object.entries(read())) this.#setNumber(part, key, help, value)
    } catch {
      this.#failures.inc()
    }
  }

  #setNumber(part: string, key: string, help: string, value: number): void {
    const name = metricName(part, key)
    const metric = this.#numbers.get(name) ?? this.#makeNumber(name, key, help)
    if (metric instanceof Gauge) {
      metric.set(value)
      return
    }
    // The part counts; this one only shows its count.
    metric.reset()
    metric.inc(value)
  }

  #makeNumber(name: string, key: string, help: string): Counter | Gauge {
    const options = { name, help: `${help} (${key})`, registers: [this.#registry] }
    const isGauge = metricKind(key) === MetricKind.Gauge
    const metric = isGauge ? new Gauge(options) : new Counter(options)
    this.#numbers.set(name, metric)
    return metric
  }
}

/** @public */
export function createMetrics(options: MetricsOptions): Metrics {
  return new Metrics(options)
}
