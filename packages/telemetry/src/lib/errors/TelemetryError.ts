/** Why telemetry could not be started. @public */
export enum TelemetryErrorKind {
  /** A log or span file could not be opened. */
  File = 'file',
}

/**
 * A failure to start logs, metrics or traces. Once they run, losses are only counted.
 *
 * @public
 */
export class TelemetryError extends Error {
  override readonly name = 'TelemetryError'

  constructor(
    readonly kind: TelemetryErrorKind,
    message: string,
    cause?: unknown,
  ) {
    super(message, { cause })
  }
}
