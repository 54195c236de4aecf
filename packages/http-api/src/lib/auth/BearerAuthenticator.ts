import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'
import type { Result } from 'ts-results'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import type { AccessRole, AccessToken } from './Authenticator'
import { Authenticator } from './Authenticator'
import { Err, Ok } from '@cherryhitch/model'

const bearerPattern = /^Bearer +([\x21-\x7e]+) *$/i

interface HashedToken {
  readonly digest: Buffer
  readonly name: string
  readonly role: AccessRole
}

function digestOf(token: string): Buffer {
  return createHash('sha256').update(token).digest()
}

/**
 * Identifies senders by bearer tokens. It compares fixed-length digests in constant time, and
 * always all of them, so that timing reveals nothing about the tokens.
 *
 * @public
 */
export class BearerAuthenticator extends Authenticator {
  private readonly tokens: readonly HashedToken[]

  constructor(
    tokens: readonly AccessToken[],
    private readonly role: AccessRole,
  ) {
    super()
    this.tokens = tokens.map(({ token, name, role }) => ({ digest: digestOf(token), name, role }))
  }

  override identify(headers: IncomingHttpHeaders): Result<string, RequestError> {
    const presented = bearerPattern.exec(headers.authorization ?? '')?.[1]
    if (presented === undefined) return Err(unauthenticated('Send Authorization: Bearer <token>.'))
    const found = this.lookUp(presented)
    if (found.length === 0) return Err(unauthenticated('The token is not known.'))
    const match = found.find((token) => token.role === this.role)
    if (match === undefined) return Err(forbidden(this.role))
    return Ok(match.name)
  }

  private lookUp(presented: string): readonly HashedToken[] {
    const digest = digestOf(presented)
    return this.tokens.filter((token) => timingSafeEqual(token.digest, digest))
  }
}

function unauthenticated(message: string): RequestError {
  return new RequestError(RequestErrorKind.Unauthenticated, message, {
    'WWW-Authenticate': 'Bearer realm="cherryhitch"',
  })
}

function forbidden(role: AccessRole): RequestError {
  const message = `The token is valid, but not for the ${role} interface.`
  return new RequestError(RequestErrorKind.Forbidden, message)
}
