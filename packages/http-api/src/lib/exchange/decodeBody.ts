import { Schema, SchemaIssue } from 'effect'
import type { Result } from 'ts-results'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import { formatPointer } from './formatPointer'
import { parseJson } from './parseJson'
import { Err, Ok } from '@cherryhitch/model'

/** Parses and validates a body; an error names the member that is invalid. @internal */
export type BodyDecoder<T> = (text: string) => Result<T, RequestError>

/** How to treat members that the schema does not define. @internal */
export enum ExtraMembers {
  /** Rejects them, so that a misspelt member is not silently dropped. */
  Refuse = 'error',
  /** Ignores them, since the sender may run a newer version. */
  Ignore = 'ignore',
}

const formatIssue = SchemaIssue.makeFormatterStandardSchemaV1()

/** Creates a decoder for a schema; create it once per kind of body and reuse it. @internal */
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
