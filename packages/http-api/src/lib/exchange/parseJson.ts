import type { Result } from 'ts-results'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import { formatPointer } from './formatPointer'
import { Err, Ok } from '@cherryhitch/model'

/** One value of the body; the links to the parents spell its path when there is a fault. */
interface Visit {
  readonly value: object
  readonly key: string
  readonly parent: Visit | undefined
  readonly depth: number
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
  const pending: Visit[] = []
  const look = (value: unknown, key: string, parent: Visit | undefined): string | undefined => {
    if (typeof value === 'number' && !survivesRewriting(value)) {
      const pointer = formatPointer(pathOf(key, parent))
      return `${pointer}: the number is too large to be passed on exactly; send it as a string.`
    }
    if (typeof value === 'object' && value !== null) {
      pending.push({ value, key, parent, depth: (parent?.depth ?? 0) + 1 })
    }
    return undefined
  }
  let fault = look(root, '', undefined)
  for (let visit = pending.pop(); visit !== undefined; visit = pending.pop()) {
    if (visit.depth > maxDepth) return `The body is nested deeper than ${maxDepth} levels.`
    for (const key of Object.keys(visit.value)) {
      fault ??= look(visit.value[key as keyof typeof visit.value], key, visit)
    }
    if (fault !== undefined) return fault
  }
  return fault
}

/** The keys from the body down to a value; the body itself has none. */
function pathOf(key: string, parent: Visit | undefined): readonly string[] {
  const keys: string[] = []
  let last = key
  for (let visit = parent; visit !== undefined; visit = visit.parent) {
    keys.unshift(last)
    last = visit.key
  }
  return keys
}

function survivesRewriting(value: number): boolean {
  if (!Number.isFinite(value)) return false
  return !Number.isInteger(value) || Number.isSafeInteger(value)
}

function malformed(message: string): RequestError {
  return new RequestError(RequestErrorKind.Malformed, message)
}
