import bunyan from 'bunyan'
import { Effect, Schedule } from 'effect'
import type { Scope } from 'effect'
import type { TelemetryError } from '../errors/TelemetryError'
import { LineWriter } from '../files/LineWriter'
import { openLineFile } from '../files/openLineFile'
import type { FloodLimits } from './FloodLimiter'
import { defaultFloodLimits } from './FloodLimiter'
import { Logger } from './Logger'

/** Least severe level that is written. @public */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
}

/** @public */
export interface LoggerOptions {
  /** Joined with `/` into the `name` of each line, such as the program and its instance. */
  readonly name: readonly string[]
  readonly level?: LogLevel
  /** File that lines are appended to; standard output by default. */
  readonly file?: string
  readonly limits?: Partial<FloodLimits>
  /** Current time in milliseconds; replaced in tests. */
  readonly now?: () => number
}

/**
 * Opens the log; it is flushed and closed with the scope. Fails when the file can't be opened.
 *
 * @public
 */
export function createLogger(
  options: LoggerOptions,
): Effect.Effect<Logger, TelemetryError, Scope.Scope> {
  const { name, level = LogLevel.Info, file, now = () => performance.now() } = options
  const limits = { ...defaultFloodLimits, ...options.limits }
  return Effect.gen(function* () {
    const output = yield* file === undefined
      ? Effect.succeed(new LineWriter(process.stdout))
      : openLineFile(file)
    const sink = bunyan.createLogger({
      name: name.join('/'),
      level,
      serializers: { err: bunyan.stdSerializers.err },
      streams: [{ level, stream: toStream(output) }],
    })
    const logger = new Logger(sink, output, limits, now)
    yield* Effect.addFinalizer(() =>
      Effect.sync(() => {
        logger.summarise(true)
        output.release()
      }),
    )
    const sweep = Effect.sync(() => {
      logger.summarise(false)
    })
    yield* Effect.forkScoped(Effect.repeat(sweep, Schedule.spaced(limits.periodMs)))
    return logger
  })
}

/** Bunyan calls only `write` of its streams. */
function toStream(output: LineWriter): NodeJS.WritableStream {
  return { write: (line: string) => output.write(line) } as unknown as NodeJS.WritableStream
}
