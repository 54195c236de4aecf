import type { InstanceView } from '@cherryhitch/model'
import type { OwnershipSubject } from '@cherryhitch/policy'
import { ownershipShard, pickOwner } from '@cherryhitch/policy'
import { InstanceState } from '@cherryhitch/protocol'

/** Computes the owner of each endpoint from the members and preset known here. @internal */
export class OwnershipView {
  private members: readonly InstanceView[] = []
  private previous: ReadonlyMap<string, readonly string[]> = new Map()
  private current: ReadonlyMap<string, readonly string[]> = new Map()
  private isDraining = false
  private changedAt = -Infinity

  constructor(
    private readonly instance: string,
    private readonly zone: string,
    private shards: number,
  ) {
    this.current = new Map([[zone, [instance]]])
  }

  /** @returns whether ownership may have changed */
  setMembers(now: number, members: readonly InstanceView[]): boolean {
    this.members = members
    return this.recompute(now)
  }

  /** @returns whether ownership may have changed */
  setShards(shards: number): boolean {
    const changed = shards !== this.shards
    this.shards = shards
    return changed
  }

  /** Excludes this instance, which is draining, from ownership. */
  startDraining(now: number): void {
    this.isDraining = true
    this.recompute(now)
  }

  ownerOf(endpoint: string, service: string, zone: string): string | undefined {
    return this.pick(endpoint, service, this.current.get(zone) ?? [])
  }

  /** The owner before a change within the last `withinMs`, if it is another live instance. */
  livePredecessorOf(
    now: number,
    withinMs: number,
    { endpoint, service }: OwnershipSubject,
  ): string | undefined {
    if (now - this.changedAt > withinMs) return undefined
    const owner = this.pick(endpoint, service, this.previous.get(this.zone) ?? [])
    if (owner === undefined || owner === this.instance) return undefined
    return this.isAlive(owner) ? owner : undefined
  }

  isAlive(instance: string): boolean {
    return this.members.some((member) => member.instance === instance && member.alive)
  }

  /** Boot number of an instance; 0 if it is not known. */
  bootOf(instance: string): number {
    return this.members.find((member) => member.instance === instance)?.boot ?? 0
  }

  private pick(
    endpoint: string,
    service: string,
    instances: readonly string[],
  ): string | undefined {
    return pickOwner(ownershipShard({ endpoint, service }, this.shards), instances)
  }

  private recompute(now: number): boolean {
    const next = this.candidates()
    if (sameCandidates(this.current, next)) return false
    this.previous = this.current
    this.changedAt = now
    this.current = next
    return true
  }

  private candidates(): ReadonlyMap<string, readonly string[]> {
    const zones = new Map<string, string[]>()
    for (const member of this.members) {
      if (!this.isCandidate(member)) continue
      const instances = zones.get(member.zone) ?? []
      instances.push(member.instance)
      zones.set(member.zone, instances)
    }
    // Before its first list of members, which includes itself, an instance works alone.
    if (this.members.length === 0 && !this.isDraining) zones.set(this.zone, [this.instance])
    for (const instances of zones.values()) instances.sort()
    return zones
  }

  private isCandidate(member: InstanceView): boolean {
    if (member.instance === this.instance && this.isDraining) return false
    return (member.alive || member.self) && member.state === InstanceState.SERVING
  }
}

function sameCandidates(
  one: ReadonlyMap<string, readonly string[]>,
  other: ReadonlyMap<string, readonly string[]>,
): boolean {
  if (one.size !== other.size) return false
  for (const [zone, instances] of one) {
    if (instances.join(' ') !== other.get(zone)?.join(' ')) return false
  }
  return true
}
