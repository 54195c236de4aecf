import type { ContentProblem } from '../problems/SettingsProblem'
import type { SettingsFile } from '../schema/settingsSchema'
import { defaultTimingSettings } from '../schema/timing'
import type { TimingSettings } from '../schema/timing'
import type { SettingsRule } from './SettingsRule'

interface Relation {
  readonly longer: keyof TimingSettings
  readonly shorter: keyof TimingSettings
  readonly times: number
}

/** A factor of 3 tolerates two consecutive lost messages before a timeout. */
const relations: readonly Relation[] = [
  { longer: 'endpointTimeoutMs', shorter: 'heartbeatMs', times: 3 },
  { longer: 'leaseMs', shorter: 'heartbeatMs', times: 3 },
  { longer: 'instanceTimeoutMs', shorter: 'instanceHeartbeatMs', times: 3 },
]

function checkRelations({ timing = {} }: SettingsFile): readonly ContentProblem[] {
  const merged: TimingSettings = { ...defaultTimingSettings, ...timing }
  return relations
    .filter(({ longer, shorter, times }) => merged[longer] < times * merged[shorter])
    .map(({ longer, shorter, times }) => ({
      // Report the setting that the file sets, since it is the one to change.
      path: ['timing', timing[longer] === undefined ? shorter : longer],
      found: `${longer} ${merged[longer]} with ${shorter} ${merged[shorter]}`,
      allowed: `${longer} of at least ${times} times ${shorter}`,
    }))
}

export const timingRules: readonly SettingsRule[] = [{ reads: ['timing'], check: checkRelations }]
