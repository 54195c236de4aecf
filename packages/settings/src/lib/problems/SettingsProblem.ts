/** One thing that is wrong with a settings file. @public */
export interface SettingsProblem {
  readonly file: string
  /** Counted from 1; 0 when the file could not be read. */
  readonly line: number
  /** Path of the setting, such as `peers[1].port`; empty for the whole file. */
  readonly setting: string
  /** What stands there, as a clause. */
  readonly found: string
  /** What may stand there, as a clause. */
  readonly allowed: string
}

/** A problem within the content of a file, before it is known where it stands. @internal */
export interface ContentProblem {
  readonly path: SettingPath
  readonly found: string
  readonly allowed: string
}

/** Keys and indexes from the top of the file. @internal */
export type SettingPath = readonly (string | number)[]

/** Writes a path as operators know it: `peers[1].port`. @internal */
export function formatPath(path: SettingPath): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`
    return text === '' ? part : `${text}.${part}`
  }, '')
}

const MAX_FOUND_LENGTH = 60

/** Writes a value of the file into a message, shortened. @internal */
export function formatFound(value: unknown): string {
  if (value === undefined) return 'nothing'
  if (Array.isArray(value)) return 'a list'
  if (typeof value === 'object' && value !== null) return 'a group of settings'
  const text = JSON.stringify(value)
  return text.length > MAX_FOUND_LENGTH ? `${text.slice(0, MAX_FOUND_LENGTH)}…` : text
}

/** One line that an operator can act on. @public */
export function formatSettingsProblem(problem: SettingsProblem): string {
  const { file, line, setting, found, allowed } = problem
  const place = line > 0 ? `${file}:${line}` : file
  const subject = setting === '' ? '' : `${setting}: `
  return `${place}: ${subject}found ${found}; allowed is ${allowed}`
}
