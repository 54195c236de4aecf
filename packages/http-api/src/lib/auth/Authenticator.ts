import type { IncomingHttpHeaders } from 'node:http'
import type { Result } from 'ts-results'
import type { RequestError } from '../problems/RequestError'

/** The API that a token gives access to. @public */
export enum AccessRole {
  Caller = 'caller',
  Endpoint = 'endpoint',
  Operator = 'operator',
}

/** A bearer token and the identity it authenticates. @public */
export interface AccessToken {
  readonly token: string
  /** Name of the caller, endpoint group or operator. */
  readonly name: string
  readonly role: AccessRole
}

/** Identifies the sender of a request. @public */
export abstract class Authenticator {
  /** Returns the name of the sender, or the refusal. */
  abstract identify(headers: IncomingHttpHeaders): Result<string, RequestError>
}
