import { usageError } from '../CliError'

/** A time without an offset would mean another moment on each auditor's machine. */
const withOffset = /T.*(Z|[+-]\d\d:\d\d)$/

/**
 * Reads a flag that names a moment, as the audit record writes it.
 *
 * @returns milliseconds since the epoch
 * @throws CliError when it names none
 * @internal
 */
export function pointInTime(flag: string, name: string): number {
  const time = withOffset.test(flag) ? Date.parse(flag) : Number.NaN
  if (Number.isFinite(time)) return time
  const example = `${name} 2026-03-31T09:00:00+09:00`
  throw usageError(`${name} ${flag} is no time with an offset.`, `Give one such as ${example}.`)
}
