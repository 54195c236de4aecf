import path from 'node:path'
import type { Result } from 'ts-results'
import type { SettingsProblem } from '../problems/SettingsProblem'
import { checkRules } from '../rules/checkRules'
import { completeSettings } from '../schema/completeSettings'
import type { Settings } from '../schema/Settings'
import type { SettingsFile } from '../schema/settingsSchema'
import { Err, Ok } from '@cherryhitch/model'
import { checkShape } from './checkShape'
import { SettingsText } from './SettingsText'

/**
 * Parses and checks the text of a settings file.
 *
 * @param file - path of the file; relative paths in the text are resolved against its folder
 * @returns the settings with defaults filled in, or all problems in file order
 * @public
 */
export function parseSettings(
  text: string,
  file: string,
): Result<Settings, readonly SettingsProblem[]> {
  const parsed = new SettingsText(text, file)
  const syntax = parsed.syntaxProblems()
  if (syntax.length > 0) return Err(syntax)
  const value = parsed.value
  const shape = checkShape(value)
  const rules = checkRules(value as SettingsFile, shape)
  const located = [...shape, ...rules].map((problem) => parsed.locate(problem))
  const problems = [...parsed.duplicateProblems(), ...located].sort((a, b) => a.line - b.line)
  if (problems.length > 0) return Err(problems)
  return Ok(completeSettings(value as SettingsFile, path.dirname(path.resolve(file))))
}
