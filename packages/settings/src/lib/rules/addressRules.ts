import type { ContentProblem } from '../problems/SettingsProblem'
import { formatFound } from '../problems/SettingsProblem'
import type { SettingsFile } from '../schema/settingsSchema'
import { formatAddress, isWildcard } from './addresses'
import { findRepeats } from './findRepeats'
import type { SettingsRule } from './SettingsRule'

/** Interfaces whose addresses are announced, which must be reachable from other machines. */
const announced = ['endpoints', 'instances'] as const

function checkWildcards({ interfaces }: SettingsFile): readonly ContentProblem[] {
  return announced
    .filter((name) => isWildcard(interfaces[name].host))
    .map((name) => ({
      path: ['interfaces', name, 'host'],
      found: formatFound(interfaces[name].host),
      allowed: 'one address of this machine, since others are told it',
    }))
}

function checkDistinctAddresses({ interfaces }: SettingsFile): readonly ContentProblem[] {
  const entries = Object.entries(interfaces)
  return findRepeats(entries, ([, address]) => formatAddress(address)).map(({ index, key }) => ({
    path: ['interfaces', entries[index]?.[0] ?? '', 'port'],
    found: `the address ${key} of another interface`,
    allowed: 'an address of its own for each interface',
  }))
}

export const addressRules: readonly SettingsRule[] = [
  { reads: ['interfaces'], check: checkWildcards },
  { reads: ['interfaces'], check: checkDistinctAddresses },
]
