import type { Result } from 'ts-results'
import { Authenticator } from './Authenticator'
import { Ok } from '@cherryhitch/model'

/** Accepts every request, with an empty sender name. @public */
export class OpenAuthenticator extends Authenticator {
  override identify(): Result<string, never> {
    return Ok('')
  }
}
