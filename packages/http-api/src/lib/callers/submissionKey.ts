import type { IncomingHttpHeaders } from 'node:http'
import type { Result } from 'ts-results'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import { Err, Ok } from '@cherryhitch/model'

/** Longest submission key, in characters. */
const MAX_KEY_LENGTH = 128
const visiblePattern = /^[\x21-\x7e]+$/

/** Reads the `Idempotency-Key` header; empty when it is absent. @internal */
export function readSubmissionKey(headers: IncomingHttpHeaders): Result<string, RequestError> {
  const key = headers['idempotency-key']
  if (key === undefined) return Ok('')
  if (typeof key === 'string' && isSubmissionKey(key)) return Ok(key)
  const message = `Idempotency-Key: send it once, 1 to ${MAX_KEY_LENGTH} visible ASCII characters.`
  return Err(new RequestError(RequestErrorKind.Malformed, message))
}

function isSubmissionKey(text: string): boolean {
  return text.length <= MAX_KEY_LENGTH && visiblePattern.test(text)
}

/**
 * Refuses a non-idempotent job without a key: a resend after a lost response could not be
 * distinguished from a second job.
 *
 * @internal
 */
export function requireKeyIfNonIdempotent(
  idempotent: boolean,
  key: string,
): Result<string, RequestError> {
  if (idempotent || key !== '') return Ok(key)
  const message =
    'A job with "idempotent": false needs the header Idempotency-Key, because without it ' +
    'a second sending could not be recognised.'
  return Err(new RequestError(RequestErrorKind.Malformed, message))
}
