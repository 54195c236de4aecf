import type { IncomingHttpHeaders } from 'node:http'
import type { Result } from 'ts-results'
import type { RequestError } from '../problems/RequestError'

/** Which interface a token opens. @public */
export enum AccessRole {
  Caller = 'caller',
  Endpoint = 'endpoint',
  Operator = 'operator',
}

/** A bearer token and whom it stands for. @public */
export interface AccessToken {
  readonly token: string
  /** Name of the caller, endpoint group or operator. */
  readonly name: string
  readonly role: AccessRole
}

/** Tells who sent a request. @public */
export abstract class Authenticator {
  /** Name of the sender, or the refusal. */
  abstract identify(headers: IncomingHttpHeaders): Result<string, RequestError>
}
