import type { Result } from 'ts-results'
import { Err, Ok } from '@cherryhitch/model'

/** Reads a JSON object; an error when the text is none. @internal */
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

/** The strings of a list; undefined when the value is no list of strings. @internal */
export function readTexts(value: unknown): readonly string[] | undefined {
  if (!Array.isArray(value)) return undefined
  const texts = value.filter((item): item is string => typeof item === 'string')
  return texts.length === value.length ? texts : undefined
}

/** The boot number that an answer names; undefined when it names none. @internal */
export function readBoot(answer: Readonly<Record<string, unknown>>): number | undefined {
  return typeof answer.boot === 'number' ? answer.boot : undefined
}
