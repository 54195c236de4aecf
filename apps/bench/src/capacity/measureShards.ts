import { ownershipShard, pickOwner } from '@cherryhitch/policy'
import { head, row } from './measuring'
import { instanceName, serviceName } from './samples'

/** Workers of one zone of ten. */
const ENDPOINTS = 1800

/** How many endpoints each instance of a zone owns, largest first. */
function countOwned(instances: number, services: number, shards: number): number[] {
  const names = Array.from({ length: instances }, (_, n) => instanceName(n + 1))
  const owned = new Map(names.map((name) => [name, 0]))
  const ownerOfShard = new Map<string, string | undefined>()
  for (let n = 0; n < ENDPOINTS; n++) {
    const service = serviceName(n % services)
    const shard = ownershipShard({ endpoint: `worker-${n}`, service }, shards)
    if (!ownerOfShard.has(shard)) ownerOfShard.set(shard, pickOwner(shard, names))
    const owner = ownerOfShard.get(shard) ?? ''
    owned.set(owner, (owned.get(owner) ?? 0) + 1)
  }
  return [...owned.values()].sort((a, b) => b - a)
}

/** Prints how evenly a zone's endpoints spread over its instances. Exact: nothing is timed. */
export function measureShards(): void {
  const columns = ['instances', 'services', 'owner_shards', 'most', 'mean', 'own nothing']
  head(`Ownership of ${ENDPOINTS} endpoints in one zone`, ...columns)
  for (const instances of [7, 30, 70]) {
    for (const services of [1, 4, 16]) {
      for (const shards of [1, 16, 64, 256, 1024]) {
        const owned = countOwned(instances, services, shards)
        const idle = owned.filter((count) => count === 0).length
        row(instances, services, shards, owned[0] ?? 0, ENDPOINTS / instances, idle)
      }
    }
  }
}
