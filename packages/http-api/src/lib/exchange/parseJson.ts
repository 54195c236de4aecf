import type { Result } from 'ts-results'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import { formatPointer } from './formatPointer'
import { Err, Ok } from '../util/results'

interface Visit {
  readonly value: unknown
  readonly path: readonly PropertyKey[]
}

/**
 * Parses a body. Besides malformed JSON it refuses what could not be passed on unchanged:
 * integers beyond 2^53 and numbers beyond the range of a double would silently become others.
 * Nesting is bounded because writing JSON again is recursive.
 *
 * @internal
 */
export function parseJson(text: string, maxDepth: number): Result<unknown, RequestError> {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (err) {
    return Err(malformed(`The body is not JSON: ${(err as Error).message}.`))
  }
  const fault = findFault(value, maxDepth)
  return fault === undefined ? Ok(value) : Err(malformed(fault))
}

/** Walks without recursion, so that deep nesting can't exhaust the stack. */
function findFault(root: unknown, maxDepth: number): string | undefined {
  const pending: Visit[] = [{ value: root, path: [] }]
  for (let visit = pending.pop(); visit !== undefined; visit = pending.pop()) {
    const { value, path } = visit
    if (typeof value === 'number' && !survivesRewriting(value)) {
      return `${formatPointer(path)}: the number is too large to be passed on exactly; send it as a string.`
    }
    if (typeof value !== 'object' || value === null) continue
    if (path.length >= maxDepth) return `The body is nested deeper than ${maxDepth} levels.`
    for (const [key, child] of Object.entries(value)) {
      if (typeof child === 'number' || typeof child === 'object') {
        pending.push({ value: child, path: [...path, key] })
      }
    }
  }
  return undefined
}

function survivesRewriting(value: number): boolean {
  if (!Number.isFinite(value)) return false
  return !Number.isInteger(value) || Number.isSafeInteger(value)
}

function malformed(message: string): RequestError {
  return new RequestError(RequestErrorKind.Malformed, message)
}
