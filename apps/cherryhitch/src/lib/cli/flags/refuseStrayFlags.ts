import { usageError } from '../CliError'

/** Flags that any action may have. */
const common = new Set(['--', 'url', 'tokenFile', 'json', 'operator'])

/** `diskId` is typed as `--disk-id`. */
function asTyped(name: string): string {
  return `--${name.replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`
}

/**
 * Refuses flags that an action of a command does not know: dropped in silence, they would let a
 * user believe in an answer to another question.
 *
 * @param flags - as the parser gives them
 * @param allowed - names of the action's own flags
 * @param what - command and action, for the message
 * @throws CliError that names the first such flag
 * @internal
 */
export function refuseStrayFlags(flags: object, allowed: readonly string[], what: string): void {
  const given = Object.entries(flags).filter(([, value]) => value !== undefined)
  const stray = given.find(([name]) => !common.has(name) && !allowed.includes(name))
  if (stray === undefined) return
  const command = what.split(' ')[0] ?? ''
  const message = `${asTyped(stray[0])} has no meaning for "${what}".`
  throw usageError(message, `See cherryhitch ${command} --help.`)
}
