import { exhaustive } from '@cherryhitch/model'
import type { Settings } from '@cherryhitch/settings'
import { LogLevel as SettingsLevel } from '@cherryhitch/settings'
import type { TelemetryError } from '@cherryhitch/telemetry'
import { LogLevel, createLogger, createMetrics, createTracer } from '@cherryhitch/telemetry'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { InstanceTelemetry } from '../instance/InstanceTelemetry'
import { ServedTelemetry } from './ServedTelemetry'

/** Opens logs, metrics and traces according to the settings. @internal */
export function openTelemetry(
  settings: Settings,
): Effect.Effect<InstanceTelemetry, TelemetryError, Scope.Scope> {
  const { instance, zone, log, traces } = settings
  return Effect.gen(function* () {
    const logger = yield* createLogger({
      name: ['cherryhitch', instance],
      level: toLogLevel(log.level),
      ...(log.file === undefined ? {} : { file: log.file }),
    })
    const metrics = createMetrics({ instance, zone })
    const tracer = yield* createTracer({ instance, ...traces })
    return new ServedTelemetry(logger, metrics, tracer)
  })
}

/** Maps the six log levels of the settings, those of bunyan, to the four used internally. */
function toLogLevel(level: SettingsLevel): LogLevel {
  switch (level) {
    case SettingsLevel.Trace:
    case SettingsLevel.Debug:
      return LogLevel.Debug
    case SettingsLevel.Info:
      return LogLevel.Info
    case SettingsLevel.Warn:
      return LogLevel.Warn
    case SettingsLevel.Error:
    case SettingsLevel.Fatal:
      return LogLevel.Error
    default:
      return exhaustive(level)
  }
}
