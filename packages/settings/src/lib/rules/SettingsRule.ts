import type { ContentProblem } from '../problems/SettingsProblem'
import type { SettingsFile } from '../schema/settingsSchema'

/** A constraint between several settings. @internal */
export interface SettingsRule {
  /** Top-level settings that the rule reads; it is skipped if one of them has the wrong shape. */
  readonly reads: readonly (keyof SettingsFile)[]
  readonly check: (settings: SettingsFile) => readonly ContentProblem[]
}
