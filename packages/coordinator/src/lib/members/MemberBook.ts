import type { InstanceView } from '@cherryhitch/model'
import type { OwnerOffer } from '@cherryhitch/policy'
import { InstanceState } from '@cherryhitch/protocol'
import { UnreportedTasks } from './UnreportedTasks'

/** An offer that is kept up to date in place, so that placing a job builds no list. */
interface LiveOffer extends OwnerOffer {
  unreported: number
}

interface OfferEntry {
  readonly offer: LiveOffer
  readonly heardAt: number
}

/** What this coordinator knows of the instances. @internal */
export class MemberBook {
  private byName = new Map<string, InstanceView>()
  private entries: OfferEntry[] = []
  private offerList: readonly OwnerOffer[] = []
  private readonly offerOf = new Map<string, LiveOffer>()
  private readonly unreported = new Map<string, UnreportedTasks>()
  private oldestHeardAt = Infinity
  private servingNames: readonly string[] = []

  constructor(
    private readonly self: string,
    private readonly silentMs: number,
  ) {}

  /** Live instances that admit jobs now. */
  get serving(): readonly string[] {
    return this.servingNames
  }

  get(instance: string): InstanceView | undefined {
    return this.byName.get(instance)
  }

  all(): Iterable<InstanceView> {
    return this.byName.values()
  }

  bootOf(instance: string): number {
    return this.byName.get(instance)?.boot ?? 0
  }

  isAlive(instance: string): boolean {
    return instance === this.self || (this.byName.get(instance)?.alive ?? false)
  }

  update(members: readonly InstanceView[]): void {
    const previous = this.byName
    this.byName = new Map(members.map((member) => [member.instance, member]))
    this.entries = []
    this.offerOf.clear()
    this.oldestHeardAt = Infinity
    this.servingNames = members.filter(isServing).map((member) => member.instance)
    for (const member of members) {
      if (isServing(member)) this.takeOffers(member, previous.get(member.instance))
    }
    this.offerList = this.entries.map((entry) => entry.offer)
  }

  /**
   * Offers of live owners. An owner that was silent for a while is left out where another one
   * offers the same service.
   */
  offers(now: number): readonly OwnerOffer[] {
    if (now - this.oldestHeardAt <= this.silentMs) return this.offerList
    const fresh = this.entries.filter((entry) => now - entry.heardAt <= this.silentMs)
    const covered = new Set(fresh.map((entry) => entry.offer.service))
    const usable = this.entries.filter(
      (entry) => now - entry.heardAt <= this.silentMs || !covered.has(entry.offer.service),
    )
    return usable.map((entry) => entry.offer)
  }

  /** Predicted wait at an owner, in milliseconds. */
  waitAt(instance: string, service: string): number {
    return this.offerOf.get(offerKey(instance, service))?.waitMs ?? 0
  }

  notePlaced(now: number, instance: string, service: string): void {
    const key = offerKey(instance, service)
    let tasks = this.unreported.get(key)
    if (tasks === undefined) {
      tasks = new UnreportedTasks()
      this.unreported.set(key, tasks)
    }
    tasks.add(now, 1)
    this.refreshOffer(key, tasks)
  }

  noteEnded(instance: string, service: string, placedAt: number): void {
    const key = offerKey(instance, service)
    const tasks = this.unreported.get(key)
    if (tasks === undefined) return
    tasks.takeBack(placedAt)
    this.refreshOffer(key, tasks)
  }

  private refreshOffer(key: string, tasks: UnreportedTasks): void {
    const offer = this.offerOf.get(key)
    if (offer !== undefined) offer.unreported = tasks.count
  }

  private takeOffers(member: InstanceView, before: InstanceView | undefined): void {
    const isNew = before?.services !== member.services
    // What was on its way when the summary was made may be missing in it.
    const cutoff = member.heardAt - member.roundTripMs
    const heardAt = member.self ? Infinity : member.heardAt
    this.oldestHeardAt = Math.min(this.oldestHeardAt, heardAt)
    for (const summary of member.services) {
      const key = offerKey(member.instance, summary.service)
      const tasks = this.unreported.get(key)
      if (isNew) tasks?.forgetBefore(cutoff)
      const offer: LiveOffer = {
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
      this.entries.push({ offer, heardAt })
      this.offerOf.set(key, offer)
    }
  }
}

function isServing(member: InstanceView): boolean {
  return member.alive && member.state === InstanceState.SERVING
}

function offerKey(instance: string, service: string): string {
  return `${instance}/${service}`
}
