import type { Settings, SettingsProblem, Tokens } from '@cherryhitch/settings'
import { formatSettingsProblem, loadSettings, loadTokens } from '@cherryhitch/settings'
import { usageError } from '../CliError'

const HINT = 'docs/settings.md lists all settings; check a file with "cherryhitch settings check".'

function refuse(problems: readonly SettingsProblem[]): never {
  throw usageError(problems.map(formatSettingsProblem).join('\n'), HINT)
}

/**
 * Reads a settings file.
 *
 * @throws CliError that lists all problems of the file
 * @internal
 */
export function readSettings(file: string): Settings {
  const loaded = loadSettings(file)
  return loaded.ok ? loaded.val : refuse(loaded.val)
}

/**
 * Reads the token files that the settings name; undefined when they name none.
 *
 * @throws CliError that lists all problems of the files
 * @internal
 */
export function readTokens(settings: Settings): Tokens | undefined {
  if (settings.tokens === undefined) return undefined
  const loaded = loadTokens(settings.tokens)
  return loaded.ok ? loaded.val : refuse(loaded.val)
}
