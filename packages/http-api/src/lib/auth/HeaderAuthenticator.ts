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
  /** Whether requests without the header are accepted, with an empty name. */
  readonly optional: boolean
}

/**
 * Trusts the name in a header. For networks whose load balancer has already authenticated the
 * sender, and for test deployments.
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

/** Refusal of a request whose identifying header is missing or invalid. @internal */
export function missingName(header: string): RequestError {
  return new RequestError(RequestErrorKind.Malformed, `State your name in the header ${header}.`)
}
