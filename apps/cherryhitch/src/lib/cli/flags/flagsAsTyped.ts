import type { CAC } from 'cac'
import { usageError } from '../CliError'

/** `--disk-id` is `diskId` to the parser. */
function camelCase(flag: string): string {
  return flag.replaceAll(/-([a-z])/g, (_, letter: string) => letter.toUpperCase())
}

/** The text that was typed for a flag: the rest of its word, or else the next word. */
function typedText(argv: readonly string[], name: string): string | undefined {
  for (const [index, word] of argv.entries()) {
    const [flag = '', ...rest] = word.replace(/^-+/, '').split('=')
    if (!word.startsWith('-') || camelCase(flag) !== name) continue
    return rest.length > 0 ? rest.join('=') : argv[index + 1]
  }
  return undefined
}

/**
 * Gives flags and arguments back as they were typed. The parser turns all that looks like a
 * number into one, so that the key `007` would become 7, and an empty reason 0.
 *
 * @throws CliError when a flag is given twice: one of the two would be dropped in silence
 * @internal
 */
export function keepAsTyped(cli: CAC, argv: readonly string[]): void {
  for (const [name, value] of Object.entries(cli.options) as [string, unknown][]) {
    if (name === '--') continue
    if (Array.isArray(value)) {
      throw usageError(`--${name} is given ${value.length} times.`, 'Give it once.')
    }
    if (typeof value === 'number') cli.options[name] = typedText(argv, name) ?? String(value)
  }
  cli.args = cli.args.map((arg: unknown) => {
    if (typeof arg !== 'number') return String(arg)
    return argv.find((word) => Number(word) === arg) ?? String(arg)
  })
}
