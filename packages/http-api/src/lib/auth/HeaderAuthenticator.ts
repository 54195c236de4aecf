import type { IncomingHttpHeaders } from 'node:http'
import type { Result } from 'ts-results'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import { Authenticator } from './Authenticator'
import { Err, Ok } from '../util/results'

/**
 * Believes the name in a header. For networks where the balancer has identified the sender
 * already, and for trials.
 *
 * @public
 */
export class HeaderAuthenticator extends Authenticator {
  constructor(
    private readonly header: string,
    private readonly isValid: (name: string) => boolean,
  ) {
    super()
  }

  override identify(headers: IncomingHttpHeaders): Result<string, RequestError> {
    const name = headers[this.header.toLowerCase()]
    if (typeof name === 'string' && this.isValid(name)) return Ok(name)
    const message = `State your name in the header ${this.header}.`
    return Err(new RequestError(RequestErrorKind.Malformed, message))
  }
}
