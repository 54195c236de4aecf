import type { ContentProblem } from '../problems/SettingsProblem'
import type { SettingsFile } from '../schema/settingsSchema'

/** Something that must hold between several settings. @internal */
export interface SettingsRule {
  /** Top settings that the rule reads; it is left out while one of them has the wrong shape. */
  readonly reads: readonly (keyof SettingsFile)[]
  readonly check: (settings: SettingsFile) => readonly ContentProblem[]
}
