import type { Result } from 'ts-results'
import { Err, Ok } from '@cherryhitch/model'

/** Parses a JSON object; an error if the text is not one. @internal */
export function readJsonObject(text: string): Result<Readonly<Record<string, unknown>>, string> {
  try {
    const value: unknown = JSON.parse(text)
    if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
      return Ok(value as Readonly<Record<string, unknown>>)
    }
    return Err('The answer is no JSON object.')
  } catch {
    return Err('The answer is no valid JSON.')
  }
}

/** The value as a list of strings; undefined if it is not one. @internal */
export function readStrings(value: unknown): readonly string[] | undefined {
  if (!Array.isArray(value)) return undefined
  const texts = value.filter((item): item is string => typeof item === 'string')
  return texts.length === value.length ? texts : undefined
}

/** The boot number in an answer; undefined if it has none. @internal */
export function readBoot(answer: Readonly<Record<string, unknown>>): number | undefined {
  return typeof answer.boot === 'number' ? answer.boot : undefined
}
