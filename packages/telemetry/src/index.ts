/**
 * Metrics, logs and traces.
 *
 * @packageDocumentation
 */
export { TelemetryError, TelemetryErrorKind } from './lib/errors/TelemetryError'
export { createLogger, LogLevel } from './lib/logs/createLogger'
export type { LoggerOptions } from './lib/logs/createLogger'
export { defaultFloodLimits } from './lib/logs/FloodLimiter'
export type { FloodLimits } from './lib/logs/FloodLimiter'
export { Logger } from './lib/logs/Logger'
export type { LogFields, PartLog } from './lib/logs/PartLog'
export { createMetrics, Metrics } from './lib/metrics/Metrics'
export type {
  HistogramHandle,
  MetricsOptions,
  MetricsText,
  ReadCounters,
} from './lib/metrics/Metrics'
export { ProcessUseReader } from './lib/metrics/ProcessUseReader'
export type { ProcessUse } from './lib/metrics/ProcessUseReader'
export { createTracer } from './lib/traces/createTracer'
export { Tracer } from './lib/traces/Tracer'
export { defaultTracerOptions } from './lib/traces/TracerOptions'
export type { TracerOptions } from './lib/traces/TracerOptions'
