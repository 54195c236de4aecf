import { usageError } from './CliError'

/** A flag as the command line's parser gives it: a number where the text is one. @internal */
export type NumberFlag = number | string

/**
 * Checks a flag that must be a whole number from 0 on.
 *
 * @throws CliError when it is none
 * @internal
 */
export function wholeNumber(flag: NumberFlag, name: string): number {
  const value = typeof flag === 'number' ? flag : Number.NaN
  if (Number.isSafeInteger(value) && value >= 0) return value
  throw usageError(`${name} ${flag} is not a whole number.`, `Give one such as ${name} 12.`)
}
