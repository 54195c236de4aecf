import type { ContentProblem } from '../problems/SettingsProblem'
import { formatFound } from '../problems/SettingsProblem'
import type { SettingsFile } from '../schema/settingsSchema'
import { isLoopback } from './addresses'
import { findRepeats } from './findRepeats'
import type { SettingsRule } from './SettingsRule'

/** Without tokens, an interface is open to anyone who can connect to it. */
function checkOpenInterfaces({ interfaces, tokens }: SettingsFile): readonly ContentProblem[] {
  if (tokens !== undefined) return []
  return Object.entries(interfaces)
    .filter(([, { host }]) => !isLoopback(host))
    .map(([name, { host }]) => ({
      path: ['interfaces', name, 'host'],
      found: formatFound(host),
      allowed: 'a loopback address such as 127.0.0.1 while there are no tokens',
    }))
}

function checkTokenNames({ tokens }: SettingsFile): readonly ContentProblem[] {
  if (tokens === undefined) return []
  const callers = findRepeats(tokens.callers, ({ caller }) => caller)
  const operators = findRepeats(tokens.operators, ({ operator }) => operator)
  const allowed = 'each name once'
  return [
    ...callers.map(({ index, key }) => ({
      path: ['tokens', 'callers', index, 'caller'],
      found: `${formatFound(key)} again`,
      allowed,
    })),
    ...operators.map(({ index, key }) => ({
      path: ['tokens', 'operators', index, 'operator'],
      found: `${formatFound(key)} again`,
      allowed,
    })),
  ]
}

export const accessRules: readonly SettingsRule[] = [
  { reads: ['interfaces', 'tokens'], check: checkOpenInterfaces },
  { reads: ['tokens'], check: checkTokenNames },
]
