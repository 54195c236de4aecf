import fs from 'node:fs'
import path from 'node:path'
import type { InstancePlace } from './Topology'
import { linkName } from './Topology'

const HOST = '127.0.0.1'

/** Short waits, so that a rolling shutdown fits into a run; the rest are the defaults. */
const timing = { balancerDelayMs: 1000, drainLimitMs: 20_000 }

/**
 * Writes the settings file of an instance.
 *
 * @param addresses - where each link between zones is entered
 * @returns the path of the file
 */
export function writeSettings(
  folder: string,
  place: InstancePlace,
  all: readonly InstancePlace[],
  addresses: Readonly<Record<string, string>>,
): string {
  const { instance, zone, voter } = place
  const listen = (port: number) => ({ host: HOST, port })
  const peers = all
    .filter((other) => other.instance !== instance)
    .map((other) => ({
      instance: other.instance,
      zone: other.zone,
      host: HOST,
      port: portTowards(place, other, addresses),
      voter: other.voter,
    }))
  const settings = {
    instance,
    zone,
    interfaces: {
      callers: listen(place.callers),
      endpoints: listen(place.endpoints),
      operators: listen(place.operators),
      instances: listen(place.instances),
    },
    peers,
    voter,
    ...(voter ? { dataFolder: path.join(folder, 'data', instance) } : {}),
    timing,
  }
  const file = path.join(folder, `${instance}.jsonc`)
  fs.writeFileSync(file, JSON.stringify(settings, null, 2))
  return file
}

function portTowards(
  from: InstancePlace,
  to: InstancePlace,
  addresses: Readonly<Record<string, string>>,
): number {
  const address = addresses[linkName(from, to)]
  return address === undefined ? to.instances : Number(address.slice(address.lastIndexOf(':') + 1))
}
