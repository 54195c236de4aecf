import { sumDays } from './sumDays'
import type { JournalEntry, PlayedDay } from './sumDays'

const DECIMALS = 3

/** One line for an entry, and one for each red day. */
export function formatDays(entry: JournalEntry): string {
  const { days, withBrokenRules, failingGate, withFaults, leastWorth, meanWorth } = sumDays(entry)
  const counts = [
    `${days} days`,
    `${withBrokenRules.length} with a broken rule`,
    `${failingGate.length} that fail the gate`,
    `${withFaults.length} with a fault`,
    `worth ${meanWorth.toFixed(DECIMALS)} on average, ${leastWorth.toFixed(DECIMALS)} at least`,
  ]
  const head = `${entry.id} ${entry.cmd} ${entry.site} ${entry.head.slice(0, 7)}: ${counts.join(', ')}`
  const red = new Set([...withBrokenRules, ...failingGate, ...withFaults])
  return [head, ...[...red].map(formatRed)].join('\n')
}

function formatRed({ name, rules, short, fault }: PlayedDay): string {
  const reasons = [...Object.keys(rules), ...short, ...(fault ? [JSON.stringify(fault)] : [])]
  return `  ${name}: ${reasons.join('; ')}`
}
