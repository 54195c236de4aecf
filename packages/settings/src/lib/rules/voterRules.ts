import type { ContentProblem } from '../problems/SettingsProblem'
import type { SettingsFile } from '../schema/settingsSchema'
import type { SettingsRule } from './SettingsRule'

function checkDataFolder({ voter, dataFolder }: SettingsFile): readonly ContentProblem[] {
  if (!voter || dataFolder !== undefined) return []
  return [{ path: ['dataFolder'], found: 'nothing', allowed: 'a path, since voter is true' }]
}

function checkSomeVoter({ voter, peers }: SettingsFile): readonly ContentProblem[] {
  if (voter || peers.some((peer) => peer.voter === true)) return []
  const allowed = 'at least one voter, here or among the peers; three are usual'
  return [{ path: ['voter'], found: 'no voter at all', allowed }]
}

export const voterRules: readonly SettingsRule[] = [
  { reads: ['voter', 'dataFolder'], check: checkDataFolder },
  { reads: ['voter', 'peers'], check: checkSomeVoter },
]
