/** Why a request was refused before any service was called, or what it failed with. @public */
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

/** A refusal that is made before any service is called: nothing ran. @public */
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
