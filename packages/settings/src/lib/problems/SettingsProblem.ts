/** An error in a settings file. @public */
export interface SettingsProblem {
  readonly file: string
  /** Counted from 1; 0 when the file could not be read. */
  readonly line: number
  /** Path of the setting, such as `peers[1].port`; empty for the whole file. */
  readonly setting: string
  /** The value found, as a phrase for the message. */
  readonly found: string
  /** The allowed values, as a phrase for the message. */
  readonly allowed: string
}

/** A problem in the content of a file, without its location. @internal */
export interface ContentProblem {
  readonly path: SettingPath
  readonly found: string
  readonly allowed: string
}

/** Keys and indexes from the root of the file. @internal */
export type SettingPath = readonly (string | number)[]

/** Formats a path as operators see it, such as `peers[1].port`. @internal */
export function formatPath(path: SettingPath): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`
    return text === '' ? part : `${text}.${part}`
  }, '')
}

const MAX_FOUND_LENGTH = 60

/** Formats a value of the file for a message, truncated if long. @internal */
export function formatFound(value: unknown): string {
  if (value === undefined) return 'nothing'
  if (Array.isArray(value)) return 'a list'
  if (typeof value === 'object' && value !== null) return 'a group of settings'
  const text = JSON.stringify(value)
  return text.length > MAX_FOUND_LENGTH ? `${text.slice(0, MAX_FOUND_LENGTH)}…` : text
}

/** Formats a problem as one line for operators. @public */
export function formatSettingsProblem(problem: SettingsProblem): string {
  const { file, line, setting, found, allowed } = problem
  const location = line > 0 ? `${file}:${line}` : file
  const subject = setting === '' ? '' : `${setting}: `
  return `${location}: ${subject}found ${found}; allowed is ${allowed}`
}
