import { hash64 } from '@cherryhitch/model'

/** The attributes of an endpoint that determine its shard. @public */
export interface OwnershipSubject {
  readonly endpoint: string
  readonly service: string
}

/**
 * The shard that an endpoint belongs to. With one shard, all endpoints of a service in an
 * availability zone share one owner and thus one queue. More shards spread the endpoints of large
 * deployments over several owners.
 *
 * @public
 */
export function ownershipShard(subject: OwnershipSubject, shards: number): string {
  const shard = shards <= 1 ? 0 : parseInt(hash64(subject.endpoint).slice(0, 8), 16) % shards
  return `${subject.service}/${shard}`
}

/**
 * Picks the owner of a shard among the live instances of its availability zone by rendezvous
 * hashing: when an instance joins or leaves, only the shards that it gains or owned move.
 *
 * @returns undefined when there is no instance
 * @public
 */
export function pickOwner(shard: string, instances: readonly string[]): string | undefined {
  let best: string | undefined
  let bestScore = ''
  for (const instance of instances) {
    const score = hash64(`${shard}@${instance}`)
    if (best === undefined || score > bestScore || (score === bestScore && instance < best)) {
      best = instance
      bestScore = score
    }
  }
  return best
}
