import type { Result } from 'ts-results'
import { Authenticator } from './Authenticator'
import { Ok } from '@cherryhitch/model'

/** Lets everybody in, without a name. @public */
export class OpenAuthenticator extends Authenticator {
  override identify(): Result<string, never> {
    return Ok('')
  }
}
