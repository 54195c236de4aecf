/** The metric type under which a value is exposed. @internal */
export enum MetricKind {
  Counter = 'counter',
  Gauge = 'gauge',
}

const gaugePrefix = /^(?:current|is|has|max|min)[A-Z]/
const gaugeSuffix = /(?:Now|Size|Depth|Version|Term|Index|Ms)$/

/**
 * Distinguishes counters from gauges by key: gauges begin with `current`, `is`, `has`, `max` or
 * `min`, or end in `Now`, `Size`, `Depth`, `Version`, `Term`, `Index` or `Ms`.
 */
export function metricKind(key: string): MetricKind {
  return gaugePrefix.test(key) || gaugeSuffix.test(key) ? MetricKind.Gauge : MetricKind.Counter
}

/**
 * Returns the exposed name, such as `cherryhitch_links_batches_sent_total` for the counter
 * `batchesSent` of the part `links`.
 */
export function metricName(part: string, key: string): string {
  const name = `cherryhitch_${toSnakeCase(part)}_${toSnakeCase(key)}`
  return metricKind(key) === MetricKind.Counter ? `${name}_total` : name
}

function toSnakeCase(text: string): string {
  return text
    .replace(/([a-z0-9])([A-Z])/g, '$1_$2')
    .replace(/[^A-Za-z0-9]+/g, '_')
    .toLowerCase()
}
