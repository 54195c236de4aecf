/**
 * Sums up played days, with each that is red and why:
 * `npx tsx apps/bench/src/measureDays.ts journal/ENTRY.json...`.
 */
import fs from 'node:fs'
import { formatDays } from './days/formatDays'
import type { JournalEntry } from './days/sumDays'

for (const file of process.argv.slice(2)) {
  const entry = JSON.parse(fs.readFileSync(file, 'utf8')) as JournalEntry
  process.stdout.write(`${formatDays(entry)}\n`)
}
