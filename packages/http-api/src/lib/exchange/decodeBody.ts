import { Schema, SchemaIssue } from 'effect'
import type { Result } from 'ts-results'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import { formatPointer } from './formatPointer'
import { parseJson } from './parseJson'
import { Err, Ok } from '@cherryhitch/model'

/** Turns a body's text into a checked value, or says where it is wrong. @internal */
export type BodyDecoder<T> = (text: string) => Result<T, RequestError>

/** What to do about members that the schema does not know. @internal */
export enum ExtraMembers {
  /** A misspelt member must not be dropped in silence. */
  Refuse = 'error',
  /** The sender may be of a newer version. */
  Ignore = 'ignore',
}

const formatIssue = SchemaIssue.makeFormatterStandardSchemaV1()

/** Makes a decoder of a schema; made once for each kind of body. @internal */
export function bodyDecoder<S extends Schema.ConstraintDecoder<unknown>>(
  schema: S,
  maxDepth: number,
  extraMembers: ExtraMembers = ExtraMembers.Refuse,
): BodyDecoder<S['Type']> {
  const decode = Schema.decodeUnknownResult(schema, {
    errors: 'first',
    onExcessProperty: extraMembers,
  })
  return (text) =>
    parseJson(text, maxDepth).andThen((value): Result<S['Type'], RequestError> => {
      const result = decode(value)
      if (result._tag === 'Success') return Ok(result.success)
      return Err(describeIssue(result.failure.issue))
    })
}

function describeIssue(issue: SchemaIssue.Issue): RequestError {
  const first = formatIssue(issue).issues[0]
  const path = (first?.path ?? []).map((key) => (typeof key === 'object' ? key.key : key))
  const message = `${formatPointer(path)}: ${first?.message ?? 'is wrong'}.`
  return new RequestError(RequestErrorKind.Malformed, message)
}
