/** Why a server could not be started. @public */
export enum HttpServerErrorKind {
  /** A key or certificate file can't be read or used. */
  TlsUnusable = 'tls_unusable',
  /** The address is taken, or is not one of this machine's. */
  ListenFailed = 'listen_failed',
}

/** Error of starting an HTTP server. @public */
export class HttpServerError extends Error {
  override readonly name = 'HttpServerError'

  constructor(
    readonly kind: HttpServerErrorKind,
    message: string,
    cause: unknown,
  ) {
    super(message, { cause })
  }
}
