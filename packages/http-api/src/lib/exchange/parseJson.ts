import type { Result } from 'ts-results'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import { formatPointer } from './formatPointer'
import { Err, Ok } from '@cherryhitch/model'

/** One object or array of the body; the parent links give its path for error messages. */
interface Visit {
  readonly value: object
  readonly key: string
  readonly parent: Visit | undefined
  readonly depth: number
}

/**
 * Parses a body. Besides malformed JSON it refuses integers beyond 2^53 and numbers beyond the
 * range of a double, which would silently change when passed on. Nesting is bounded because
 * serializing JSON is recursive.
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

/** Traverses iteratively, so that deep nesting can't exhaust the stack. */
function findFault(root: unknown, maxDepth: number): string | undefined {
  const pending: Visit[] = []
  const inspect = (value: unknown, key: string, parent: Visit | undefined): string | undefined => {
    if (typeof value === 'number' && !isExactlyRepresentable(value)) {
      const pointer = formatPointer(pathOf(key, parent))
      return `${pointer}: the number is too large to be passed on exactly; send it as a string.`
    }
    if (typeof value === 'object' && value !== null) {
      pending.push({ value, key, parent, depth: (parent?.depth ?? 0) + 1 })
    }
    return undefined
  }
  let fault = inspect(root, '', undefined)
  for (let visit = pending.pop(); visit !== undefined; visit = pending.pop()) {
    if (visit.depth > maxDepth) return `The body is nested deeper than ${maxDepth} levels.`
    for (const key of Object.keys(visit.value)) {
      fault ??= inspect(visit.value[key as keyof typeof visit.value], key, visit)
    }
    if (fault !== undefined) return fault
  }
  return fault
}

/** Keys from the root of the body to a value; empty for the root itself. */
function pathOf(key: string, parent: Visit | undefined): readonly string[] {
  const keys: string[] = []
  let last = key
  for (let visit = parent; visit !== undefined; visit = visit.parent) {
    keys.unshift(last)
    last = visit.key
  }
  return keys
}

function isExactlyRepresentable(value: number): boolean {
  if (!Number.isFinite(value)) return false
  return !Number.isInteger(value) || Number.isSafeInteger(value)
}

function malformed(message: string): RequestError {
  return new RequestError(RequestErrorKind.Malformed, message)
}
