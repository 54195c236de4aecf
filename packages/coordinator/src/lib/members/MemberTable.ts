import type { InstanceView } from '@cherryhitch/model'
import type { OwnerOffer } from '@cherryhitch/policy'
import { InstanceState } from '@cherryhitch/protocol'
import type { MemberChange } from './MemberChange'
import { MemberChangeKind } from './MemberChange'
import { UnreportedTasks } from './UnreportedTasks'

/** An offer that is updated in place, so that placing a job does not allocate a new list. */
interface MutableOffer extends OwnerOffer {
  unreported: number
}

/** The coordinator's view of the instances, and the offers of those that own tasks. @internal */
export class MemberTable {
  private byName = new Map<string, InstanceView>()
  private offerList: readonly OwnerOffer[] = []
  private readonly offerByKey = new Map<string, MutableOffer>()
  private readonly unreported = new Map<string, UnreportedTasks>()
  private servingNames: readonly string[] = []

  constructor(
    private readonly self: string,
    private readonly selfBoot: number,
    private readonly silenceLimitMs: number,
  ) {}

  /** Live instances that currently admit jobs. */
  get serving(): readonly string[] {
    return this.servingNames
  }

  /** Offers of live owners, as selected by `update`. */
  get offers(): readonly OwnerOffer[] {
    return this.offerList
  }

  get(instance: string): InstanceView | undefined {
    return this.byName.get(instance)
  }

  bootOf(instance: string): number {
    if (instance === this.self) return this.selfBoot
    return this.byName.get(instance)?.boot ?? 0
  }

  isAlive(instance: string): boolean {
    return instance === this.self || (this.byName.get(instance)?.alive ?? false)
  }

  /** Whether an instance is alive and still in the given boot. */
  isAliveInBoot(instance: string, boot: number): boolean {
    return this.isAlive(instance) && this.bootOf(instance) === boot
  }

  /** When an instance was last heard of; negative infinity if it is unknown. */
  heardAt(instance: string): number {
    return this.byName.get(instance)?.heardAt ?? -Infinity
  }

  /** The other live instances in the availability zone of an instance. */
  liveZonePeers(instance: string): readonly string[] {
    const zone = this.byName.get(instance)?.zone
    const peers = [...this.byName.values()].filter((member) => member.zone === zone && member.alive)
    return peers.map((member) => member.instance).filter((name) => name !== instance)
  }

  /**
   * Applies a new view of the members. Offers of an owner that has been silent for longer than the
   * limit are left out if another owner offers the same service. Silence is measured at the time of
   * the view, because views are sent only when something has changed.
   *
   * @returns instances that were lost, recovered or restarted since the previous view
   */
  update(now: number, members: readonly InstanceView[]): readonly MemberChange[] {
    const previous = this.byName
    this.byName = new Map(members.map((member) => [member.instance, member]))
    const serving = members.filter(isServing)
    this.servingNames = serving.map((member) => member.instance)
    this.offerByKey.clear()
    const silent: MutableOffer[] = []
    const fresh: MutableOffer[] = []
    for (const member of serving) {
      const isSilent = !member.self && now - member.heardAt > this.silenceLimitMs
      const offers = this.buildOffers(member, previous.get(member.instance))
      if (isSilent) silent.push(...offers)
      else fresh.push(...offers)
    }
    this.offerList = omitRedundantSilent(silent, fresh)
    return this.changesSince(previous)
  }

  /** Predicted wait at an owner, in milliseconds. */
  predictedWaitMs(instance: string, service: string): number {
    return this.offerByKey.get(offerKey(instance, service))?.waitMs ?? 0
  }

  notePlaced(now: number, instance: string, service: string): void {
    const key = offerKey(instance, service)
    let tasks = this.unreported.get(key)
    if (tasks === undefined) {
      tasks = new UnreportedTasks()
      this.unreported.set(key, tasks)
    }
    tasks.add(now, 1)
    this.updateUnreported(key, tasks)
  }

  noteEnded(instance: string, service: string, placedAt: number): void {
    const key = offerKey(instance, service)
    const tasks = this.unreported.get(key)
    if (tasks === undefined) return
    tasks.removeOne(placedAt)
    this.updateUnreported(key, tasks)
  }

  private updateUnreported(key: string, tasks: UnreportedTasks): void {
    const offer = this.offerByKey.get(key)
    if (offer !== undefined) offer.unreported = tasks.count
  }

  private changesSince(previous: ReadonlyMap<string, InstanceView>): readonly MemberChange[] {
    const changes: MemberChange[] = []
    for (const before of previous.values()) {
      const { instance, boot } = before
      if (before.self) continue
      const after = this.byName.get(instance)
      const kind = changeKind(before, after)
      const heardAt = after?.boot === boot ? after.heardAt : before.heardAt
      if (kind !== undefined) changes.push({ kind, instance, boot, heardAt })
    }
    return changes
  }

  private buildOffers(member: InstanceView, before: InstanceView | undefined): MutableOffer[] {
    const isNew = before?.services !== member.services
    // Tasks that were in transit when the summary was made may not be included in it.
    const cutoff = member.heardAt - member.roundTripMs
    return member.services.map((summary) => {
      const key = offerKey(member.instance, summary.service)
      const tasks = this.unreported.get(key)
      if (isNew) tasks?.discardBefore(cutoff)
      const offer: MutableOffer = {
        instance: member.instance,
        zone: member.zone,
        service: summary.service,
        slots: summary.slots,
        freeSlots: summary.freeSlots,
        queuedTasks: summary.queuedTasks,
        waitMs: summary.waitMs,
        meanRunMs: summary.meanRunMs,
        largest: summary.largest,
        roundTripMs: member.self ? 0 : member.roundTripMs,
        unreported: tasks?.count ?? 0,
      }
      this.offerByKey.set(key, offer)
      return offer
    })
  }
}

function changeKind(
  before: InstanceView,
  after: InstanceView | undefined,
): MemberChangeKind | undefined {
  if (after !== undefined && after.boot !== before.boot) return MemberChangeKind.Restarted
  const isAlive = after?.alive ?? false
  if (before.alive === isAlive) return undefined
  return isAlive ? MemberChangeKind.Recovered : MemberChangeKind.Lost
}

function omitRedundantSilent(
  silent: readonly MutableOffer[],
  fresh: readonly MutableOffer[],
): readonly MutableOffer[] {
  if (silent.length === 0) return fresh
  const servedServices = new Set(fresh.map((offer) => offer.service))
  return [...fresh, ...silent.filter((offer) => !servedServices.has(offer.service))]
}

function isServing(member: InstanceView): boolean {
  return member.alive && member.state === InstanceState.SERVING
}

function offerKey(instance: string, service: string): string {
  return `${instance}/${service}`
}
