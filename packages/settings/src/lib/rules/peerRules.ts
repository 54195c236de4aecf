import type { ContentProblem } from '../problems/SettingsProblem'
import { formatFound } from '../problems/SettingsProblem'
import type { SettingsFile } from '../schema/settingsSchema'
import { formatAddress, isWildcard } from './addresses'
import { findRepeats } from './findRepeats'
import type { SettingsRule } from './SettingsRule'

function checkNames({ instance, peers }: SettingsFile): readonly ContentProblem[] {
  const all = [instance, ...peers.map((peer) => peer.instance)]
  return findRepeats(all, (name) => name).map(({ index, key }) => ({
    path: ['peers', index - 1, 'instance'],
    found:
      key === instance
        ? `this instance's own name ${formatFound(key)}`
        : `${formatFound(key)} again`,
    allowed: 'each other instance once',
  }))
}

function checkAddresses({ interfaces, peers }: SettingsFile): readonly ContentProblem[] {
  const all = [interfaces.instances, ...peers]
  return findRepeats(all, formatAddress).map(({ index, key }) => ({
    path: ['peers', index - 1, 'port'],
    found: `the address ${key} of another instance`,
    allowed: 'an address of its own for each instance',
  }))
}

function checkWildcards({ peers }: SettingsFile): readonly ContentProblem[] {
  return peers.flatMap(({ host }, index) => {
    if (!isWildcard(host)) return []
    const path = ['peers', index, 'host']
    return [{ path, found: formatFound(host), allowed: 'the address that leads to the instance' }]
  })
}

/** Zone names are case-sensitive, so a spelling in another case would be a different zone. */
function checkZones({ zone, peers }: SettingsFile): readonly ContentProblem[] {
  const spellings = new Map([[zone.toLowerCase(), zone]])
  return peers.flatMap((peer, index) => {
    const key = peer.zone.toLowerCase()
    const spelling = spellings.get(key) ?? peer.zone
    spellings.set(key, spelling)
    if (spelling === peer.zone) return []
    const path = ['peers', index, 'zone']
    const allowed = `${formatFound(spelling)}, as the zone is written above`
    return [{ path, found: formatFound(peer.zone), allowed }]
  })
}

export const peerRules: readonly SettingsRule[] = [
  { reads: ['instance', 'peers'], check: checkNames },
  { reads: ['interfaces', 'peers'], check: checkAddresses },
  { reads: ['peers'], check: checkWildcards },
  { reads: ['zone', 'peers'], check: checkZones },
]
