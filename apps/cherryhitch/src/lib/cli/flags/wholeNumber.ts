import { usageError } from '../CliError'

const digits = /^\d+$/

/**
 * Checks a flag that must be a whole number from 0 on.
 *
 * @throws CliError when it is none
 * @internal
 */
export function wholeNumber(flag: string, name: string): number {
  const value = digits.test(flag) ? Number(flag) : Number.NaN
  if (Number.isSafeInteger(value)) return value
  throw usageError(`${name} ${flag} is not a whole number.`, `Give one such as ${name} 12.`)
}
