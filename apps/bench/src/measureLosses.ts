/**
 * Accounts for every request that was not served in time, from the structured logs of all
 * instances: `npx tsx apps/bench/src/measureLosses.ts LOG...`.
 */
import fs from 'node:fs'
import { findLosses, sumLosses } from './losses/accountLosses'
import { formatLosses } from './losses/formatLosses'
import { readRequestLog } from './losses/readRequestLog'

for (const file of process.argv.slice(2)) {
  const log = readRequestLog(fs.readFileSync(file, 'utf8'))
  const rows = sumLosses(findLosses(log))
  process.stdout.write(`${formatLosses(rows, log.requests.length)}\n`)
}
