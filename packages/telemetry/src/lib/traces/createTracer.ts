import { Effect, Schedule } from 'effect'
import type { Scope } from 'effect'
import type { TelemetryError } from '../errors/TelemetryError'
import { openLineFile } from '../files/openLineFile'
import { OtlpSender } from './OtlpSender'
import type { OtlpSenderOptions } from './OtlpSender'
import { Tracer } from './Tracer'
import type { TracerOptions } from './TracerOptions'
import { defaultTracerOptions } from './TracerOptions'

/**
 * Starts the export of spans; remaining spans are flushed when the scope closes. Without a file
 * or a collector all spans are dropped. Fails when the file can't be opened.
 *
 * @public
 */
export function createTracer(
  options: TracerOptions,
): Effect.Effect<Tracer, TelemetryError, Scope.Scope> {
  const cfg = { ...defaultTracerOptions, ...options }
  const { file, otlpUrl } = cfg
  return Effect.gen(function* () {
    const output = file === undefined ? undefined : yield* openLineFile(file)
    const sender =
      otlpUrl === undefined
        ? undefined
        : yield* startSender({ ...cfg, otlpUrl }, cfg.flushMs, cfg.closeLimitMs)
    return new Tracer(cfg.sampleRatio, output, sender)
  })
}

function startSender(
  options: OtlpSenderOptions,
  flushMs: number,
  closeLimitMs: number,
): Effect.Effect<OtlpSender, never, Scope.Scope> {
  return Effect.gen(function* () {
    const sender = new OtlpSender(options)
    const flushAndClose = Effect.andThen(sender.sendAll, sender.close)
    yield* Effect.addFinalizer(() => Effect.timeoutOption(flushAndClose, closeLimitMs))
    yield* Effect.forkScoped(Effect.repeat(sender.sendAll, Schedule.spaced(flushMs)))
    return sender
  })
}
