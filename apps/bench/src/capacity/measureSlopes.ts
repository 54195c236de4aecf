/**
 * Measures the slopes behind `docs/CAPACITY.md`: state, messages, processor time and memory of the
 * state machines, driven directly, and the size of encoded messages.
 *
 * Run: npx tsx apps/bench/src/capacity/measureSlopes.ts [part...]
 * Parts: owner, coordinator, membership, control, wire, link, idleLinks, http, shards, instances, processes; all without an argument.
 */
import { cpus, loadavg } from 'node:os'
import { measureControlSlopes } from './measureControlSlopes'
import { measureCoordinatorSlopes } from './measureCoordinatorSlopes'
import { measureHttp } from './measureHttp'
import { measureIdleLinks } from './measureIdleLinks'
import { measureInstances } from './measureInstances'
import { measureLinkSlopes } from './measureLinkSlopes'
import { measureMembershipSlopes } from './measureMembershipSlopes'
import { measureOwnerSlopes } from './measureOwnerSlopes'
import { measureProcesses } from './measureProcesses'
import { measureShards } from './measureShards'
import { measureWire } from './measureWire'
import { REPETITIONS } from './measuring'

const parts: Readonly<Record<string, () => void | Promise<void>>> = {
  owner: measureOwnerSlopes,
  coordinator: measureCoordinatorSlopes,
  membership: measureMembershipSlopes,
  control: measureControlSlopes,
  wire: measureWire,
  link: measureLinkSlopes,
  idleLinks: measureIdleLinks,
  http: measureHttp,
  shards: measureShards,
  instances: measureInstances,
  processes: measureProcesses,
}

function sayLoad(): void {
  const loads = loadavg().map((load) => load.toFixed(1))
  console.log(`load ${loads.join(', ')} on ${cpus().length} processors, Node.js ${process.version}`)
}

async function main(): Promise<void> {
  const asked = process.argv.slice(2)
  console.log(`medians of ${REPETITIONS} repetitions`)
  sayLoad()
  for (const [name, measure] of Object.entries(parts)) {
    if (asked.length === 0 || asked.includes(name)) await measure()
  }
  console.log('')
  sayLoad()
}

await main()
