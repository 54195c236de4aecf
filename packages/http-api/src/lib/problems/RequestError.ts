/** Why a request was refused before any service was called, or why its handler failed. @public */
export enum RequestErrorKind {
  Malformed = 'malformed',
  Unauthenticated = 'unauthenticated',
  Forbidden = 'forbidden',
  NotFound = 'not-found',
  MethodNotAllowed = 'method-not-allowed',
  BodyTimeout = 'body-timeout',
  BodyTooLarge = 'body-too-large',
  UnsupportedType = 'unsupported-type',
  ExpectationFailed = 'expectation-failed',
  HeadersTooLarge = 'headers-too-large',
  Overloaded = 'overloaded',
}

/** Refuses a request before any service is called, so nothing has run. @public */
export class RequestError extends Error {
  override readonly name = 'RequestError'

  constructor(
    readonly kind: RequestErrorKind,
    message: string,
    readonly headers: Readonly<Record<string, string>> = {},
  ) {
    super(message)
  }
}
