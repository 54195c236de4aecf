import type { ContentProblem } from '../problems/SettingsProblem'
import type { SettingsFile } from '../schema/settingsSchema'
import { accessRules } from './accessRules'
import { addressRules } from './addressRules'
import { peerRules } from './peerRules'
import { timingRules } from './timingRules'
import { voterRules } from './voterRules'

const rules = [...addressRules, ...peerRules, ...voterRules, ...accessRules, ...timingRules]

/** Checks all rules whose settings have the right shape. @internal */
export function checkRules(
  settings: SettingsFile,
  shapeProblems: readonly ContentProblem[],
): readonly ContentProblem[] {
  const malformed = new Set(shapeProblems.map(({ path }) => path[0]))
  // The top level of the file is not a group.
  if (malformed.has(undefined)) return []
  const applicable = rules.filter(({ reads }) => !reads.some((name) => malformed.has(name)))
  return applicable.flatMap((rule) => rule.check(settings))
}
