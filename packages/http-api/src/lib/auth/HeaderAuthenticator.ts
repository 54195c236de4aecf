import type { IncomingHttpHeaders } from 'node:http'
import type { Result } from 'ts-results'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import { Err, Ok } from '@cherryhitch/model'
import { Authenticator } from './Authenticator'

/** @public */
export interface HeaderAuthenticatorOptions {
  /** Header that names the sender. */
  readonly header: string
  readonly isValid: (name: string) => boolean
  /** Whether requests without the header come through, with an empty name. */
  readonly optional: boolean
}

/**
 * Believes the name in a header. For networks where the balancer has identified the sender
 * already, and for trials.
 *
 * @public
 */
export class HeaderAuthenticator extends Authenticator {
  constructor(private readonly options: HeaderAuthenticatorOptions) {
    super()
  }

  override identify(headers: IncomingHttpHeaders): Result<string, RequestError> {
    const { header, isValid, optional } = this.options
    const name = headers[header.toLowerCase()]
    if (name === undefined && optional) return Ok('')
    if (typeof name === 'string' && isValid(name)) return Ok(name)
    return Err(missingName(header))
  }
}

/** Refusal of a request whose sender has to be known by a header. @internal */
export function missingName(header: string): RequestError {
  return new RequestError(RequestErrorKind.Malformed, `State your name in the header ${header}.`)
}
