/** Why telemetry could not be started. @public */
export enum TelemetryErrorKind {
  /** A log or span file could not be opened. */
  File = 'file',
}

/** An error of logs, metrics or traces at their start; a running one only counts its losses. @public */
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
