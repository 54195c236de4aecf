import { JobVerdict, makeEndpointOrder, makeHoldOrder, makeJobOutcome } from '@cherryhitch/protocol'
import type { JobOutcome } from '@cherryhitch/protocol'
import type { SendOrder } from '../DispatchAction'
import { DispatchEventKind } from '../DispatchEvent'
import type { DispatchEvent } from '../DispatchEvent'
import type { DispatchMachine } from '../DispatchMachine'
import { RelayEventKind } from '../relay/JobRelay'
import type { RelayEvent } from '../relay/JobRelay'
import { ZoneEntry } from '../zones/ZoneEntry'
import { ZoneChange, ZoneDecision, ZoneHolder } from '../zones/ZoneHolder'
import type { ZoneJoin, ZoneOffer } from '../zones/ZoneMessages'
import { ZonePhase } from '../zones/ZoneMessages'
import type { ZoneTiming } from '../zones/ZoneTiming'
import { WAY_MS } from './OrderTransport'
import { makeSimulatedRouting } from './simulatedRouting'
import { Submissions } from './Submissions'
import { ZoneCuts } from './ZoneCuts'
import { SIMULATED_ZONES } from './ZoneDrains'

/** How zones that are cut off are served wrongly, to test that the checks notice it. @internal */
export enum ZoneFault {
  /** Entries don't name the jobs that they sent before. */
  NoLists = 'no_lists',
  /** A zone dispatcher waits for one entry only. */
  OneEntryJoins = 'one_entry_joins',
  /** A zone dispatcher takes jobs however old the joins are. */
  JoinsLastForever = 'joins_last_forever',
  /** A zone dispatcher that ends doesn't name its jobs. */
  NoListAtEnd = 'no_list_at_end',
  /** An entry that has lost its zone dispatcher goes back to the leader at once. */
  ReturnsAtOnce = 'returns_at_once',
  /** An entry that restarts goes to the leader at once. */
  ForgetsRestart = 'forgets_restart',
  /** A zone dispatcher renews the runs that it finds. */
  RenewsOtherRuns = 'renews_other_runs',
  /** Entries send what they sent to one holder to the next one. */
  ResendsToOther = 'resends_to_other',
}

/** @internal */
export interface SimulatedZonesOptions {
  readonly entriesPerZone: number
  /** Whether zones that are cut off serve alone. */
  readonly areAlone: boolean
  readonly fault?: ZoneFault
  readonly timing?: Partial<ZoneTiming>
}

/** @internal */
export interface CutOptions {
  /** The zones from which it is cut; all others by default. */
  readonly others?: readonly string[]
  /** Whether messages to the zone still arrive. */
  readonly isOneWay?: boolean
  /** Whether only instances and entries are cut from each other. */
  readonly sparesEndpoints?: boolean
}

/** Interface of the simulation to its zones. @internal */
export interface ZonesWorld extends SimulatedZonesOptions {
  readonly instances: number
  readonly random: () => number
  readonly now: () => number
  readonly after: (ms: number, run: () => void) => void
  readonly machine: (instance: number) => DispatchMachine | undefined
  readonly isUp: (instance: number) => boolean
  readonly tell: (instance: number, event: DispatchEvent) => void
  readonly tellRelay: (entry: string, event: RelayEvent) => void
  readonly onOutcome: (outcome: JobOutcome) => void
  readonly leader: () => LeaderState
  readonly restartRelay: (entry: string) => void
}

interface LeaderState {
  readonly index: number
  readonly term: number
  readonly isCut: boolean
}

interface Entry {
  zoneEntry: ZoneEntry
  /** What its relay was told last. */
  told: string
  /** What it is told once this has lasted for a while. */
  next: { readonly holder: string; readonly since: number }
  readonly open: Set<string>
  upAt: number
}

/** Time after which an entry or an instance notices that a link is lost, in milliseconds. */
const LOSS_NOTICED_MS = 250
const LOST_MESSAGES = 0.02
const ENTRY_NAME = /^(?<zone>z\d)\/e\d+$/

/** The entries of each zone, cuts between zones, and the service of zones that are cut off. */
export class SimulatedZones {
  readonly entries: readonly string[]
  readonly #cuts: ZoneCuts
  /** Cuts between instances and endpoints of different zones. */
  readonly #endpointCuts: ZoneCuts
  readonly #entries = new Map<string, Entry>()
  readonly #holders: ZoneHolder[]
  readonly #submissions = new Submissions()
  readonly #separated = new Set<string>()
  readonly #lastStop = new Map<number, () => void>()

  constructor(private readonly world: ZonesWorld) {
    this.#cuts = new ZoneCuts(world.after)
    this.#endpointCuts = new ZoneCuts(world.after)
    const numbers = Array.from({ length: world.entriesPerZone }, (_, i) => i)
    this.entries = SIMULATED_ZONES.flatMap((zone) => numbers.map((i) => `${zone}/e${i}`))
    for (const name of this.entries) this.#entries.set(name, this.#makeEntry(name, 0))
    this.#holders = Array.from({ length: world.instances }, (_, i) => this.#makeHolder(i, 0))
  }

  /** Counters of all instances of a zone's service. */
  total(counter: keyof ZoneHolder['counters']): number {
    return this.#holders.reduce((sum, { counters }) => sum + counters[counter], 0)
  }

  zoneOf(name: string): string {
    const zone = ENTRY_NAME.exec(name)?.groups?.zone
    return zone ?? SIMULATED_ZONES[Number(name.slice(1)) % SIMULATED_ZONES.length] ?? ''
  }

  entriesOf(zone: string): readonly string[] {
    return this.entries.filter((entry) => this.zoneOf(entry) === zone)
  }

  /** Whether messages from an instance arrive at the endpoints of a zone. */
  reaches(name: string, zone: string): boolean {
    return this.#endpointCuts.reaches(this.zoneOf(name), zone)
  }

  /** Whether messages from the endpoints of a zone arrive at an instance. */
  hears(name: string, zone: string): boolean {
    return this.#endpointCuts.reaches(zone, this.zoneOf(name))
  }

  /**
   * Cuts an entry from the dispatching instances of its zone for some time, but not from those of
   * other zones.
   */
  separate(entry: string, forMs: number): void {
    this.#separated.add(entry)
    this.world.after(forMs, () => {
      this.#separated.delete(entry)
    })
  }

  /** Whether messages from one instance or entry arrive at another. */
  areLinked(from: string, to: string): boolean {
    const isSeparated = this.#separated.has(from) || this.#separated.has(to)
    if (isSeparated) return this.zoneOf(from) !== this.zoneOf(to)
    return this.#cuts.reaches(this.zoneOf(from), this.zoneOf(to))
  }

  /** Cuts a zone from others for some time. */
  cut(zone: string, forMs: number, options: CutOptions = {}): void {
    const { others = SIMULATED_ZONES, isOneWay = false, sparesEndpoints = false } = options
    const cuts = sparesEndpoints ? [this.#cuts] : [this.#cuts, this.#endpointCuts]
    for (const other of others) {
      if (other === zone) continue
      for (const one of cuts) {
        one.add(zone, other, forMs)
        if (!isOneWay) one.add(other, zone, forMs)
      }
    }
  }

  /** Whether a majority of the instances can confirm this one. */
  hasQuorum(instance: number): boolean {
    let linked = 0
    for (let i = 0; i < this.world.instances; i++) {
      if (this.world.isUp(i) && this.#areLinkedBothWays(`d${i}`, `d${instance}`)) linked++
    }
    return 2 * linked > this.world.instances
  }

  isEntryUp(entry: string): boolean {
    return this.world.now() >= (this.#entries.get(entry)?.upAt ?? Infinity)
  }

  /** Handles a job that arrives at an entry; returns whether its relay gets it. */
  accept(entry: string, jobId: string): boolean {
    const now = this.world.now()
    const known = this.#entries.get(entry)
    this.#submissions.begin(jobId)
    if (known === undefined || !this.isEntryUp(entry)) {
      this.#end(jobId, JobVerdict.UNKNOWN)
      return false
    }
    if (known.zoneEntry.isWithOther(now, jobId)) {
      this.#end(jobId, JobVerdict.UNKNOWN)
      return false
    }
    known.open.add(jobId)
    return true
  }

  /** An entry sends a request to an instance. */
  noteSent(entry: string, event: DispatchEvent): void {
    if (event.kind !== DispatchEventKind.SubmitJob) return
    const now = this.world.now()
    const { spec, remainingMs } = event.req
    const { zoneEntry } = this.#entries.get(entry) ?? {}
    zoneEntry?.noteSent(now, spec?.jobId ?? '', now + remainingMs)
  }

  settle(outcome: JobOutcome): JobOutcome {
    for (const { open } of this.#entries.values()) open.delete(outcome.requestId)
    return this.#submissions.settle(outcome)
  }

  /** Kills an entry: its callers' connections break. */
  restartEntry(name: string, downMs: number): void {
    const entry = this.#entries.get(name)
    if (entry === undefined || !this.isEntryUp(name)) return
    const upAt = this.world.now() + downMs
    this.world.restartRelay(name)
    this.#entries.set(name, this.#makeEntry(name, upAt))
    for (const jobId of entry.open) this.#end(jobId, JobVerdict.UNKNOWN)
  }

  restartInstance(instance: number, upAt: number): void {
    this.#holders[instance] = this.#makeHolder(instance, upAt)
    this.#lastStop.delete(instance)
  }

  /** The answer to a job that a zone dispatcher doesn't take. */
  refusal(instance: number, event: DispatchEvent): JobOutcome | undefined {
    if (event.kind !== DispatchEventKind.SubmitJob) return undefined
    const holder = this.#holders[instance]
    if (this.world.machine(instance)?.zone === undefined || holder === undefined) return undefined
    const now = this.world.now()
    const { from: entry, req } = event
    const { requestId, spec, remainingMs } = req
    const jobId = spec?.jobId ?? ''
    const deadlineAt = now + remainingMs
    switch (holder.decide(now, { entry, requestId, jobId, deadlineAt })) {
      case ZoneDecision.Take:
        return undefined
      case ZoneDecision.Refuse:
        return makeJobOutcome({ requestId, verdict: JobVerdict.REFUSED, reason: 'not sure' })
      case ZoneDecision.MayRunElsewhere:
        return makeJobOutcome({ requestId, verdict: JobVerdict.UNKNOWN, reason: 'sent before' })
    }
  }

  /** Changes an order as a faulty zone dispatcher would send it. */
  alter(instance: number, send: SendOrder): SendOrder {
    const { fault, machine } = this.world
    const { order: what } = send.order
    const isZone = machine(instance)?.zone !== undefined
    if (fault !== ZoneFault.RenewsOtherRuns || !isZone || what.case !== 'hold') return send
    const value = makeHoldOrder(
      Number.MAX_SAFE_INTEGER,
      what.value.acknowledgedEnd,
      what.value.waitMs,
    )
    return { ...send, order: makeEndpointOrder({ ...send.order, order: { case: 'hold', value } }) }
  }

  tick(): void {
    for (const [name, entry] of this.#entries)
      if (this.isEntryUp(name)) this.#tickEntry(name, entry)
    if (!this.world.areAlone) return
    for (const [i, holder] of this.#holders.entries()) {
      if (this.world.isUp(i)) this.#tickHolder(i, holder)
    }
  }

  #makeEntry(name: string, startedAt: number): Entry {
    const { fault, timing = {} } = this.world
    const holders = this.#instancesOf(this.zoneOf(name)).map((i) => `d${i}`)
    const mayHaveRunBefore =
      this.world.areAlone && startedAt > 0 && fault !== ZoneFault.ForgetsRestart
    const returnsAtOnce = fault === ZoneFault.ReturnsAtOnce
    const own = returnsAtOnce ? { longestDeadlineMs: 0, overAfterDeadlineMs: 0 } : {}
    const more = { startedAt, mayHaveRunBefore, timing: { ...timing, ...own } }
    const zoneEntry = new ZoneEntry({ name, holders, ...more })
    const next = { holder: '', since: startedAt }
    return { zoneEntry, told: '', next, open: new Set(), upAt: startedAt }
  }

  #makeHolder(instance: number, startedAt: number): ZoneHolder {
    const { fault, timing = {} } = this.world
    const zone = this.zoneOf(`d${instance}`)
    const all = this.entriesOf(zone)
    return new ZoneHolder({
      name: `d${instance}`,
      rank: this.#instancesOf(zone).indexOf(instance),
      entries: fault === ZoneFault.OneEntryJoins ? all.slice(0, 1) : all,
      startedAt,
      mayHaveRunBefore: startedAt > 0,
      timing: fault === ZoneFault.JoinsLastForever ? { ...timing, joinLeaseMs: Infinity } : timing,
    })
  }

  #instancesOf(zone: string): readonly number[] {
    const all = Array.from({ length: this.world.instances }, (_, i) => i)
    return all.filter((i) => this.zoneOf(`d${i}`) === zone)
  }

  #areLinkedBothWays(one: string, other: string): boolean {
    return this.areLinked(one, other) && this.areLinked(other, one)
  }

  #tickEntry(name: string, entry: Entry): void {
    const now = this.world.now()
    const { zoneEntry } = entry
    const leader = this.#leaderOf(name)
    if (leader !== entry.next.holder) entry.next = { holder: leader, since: now }
    const isSettled = leader !== '' || now - entry.next.since >= LOSS_NOTICED_MS
    if (isSettled) zoneEntry.onLeader(leader !== '')
    zoneEntry.tick(now)
    const own = zoneEntry.holder(now)
    const zoneDispatcher = own === undefined ? '' : `zone ${own} 0`
    const present = zoneEntry.mayUseLeader ? leader : zoneDispatcher
    const isLeaderLost = present === '' && entry.told.startsWith('leader') && zoneEntry.mayUseLeader
    if (present === entry.told || (isLeaderLost && !isSettled)) return
    entry.told = present
    this.#tellRelay(name, present)
  }

  /** The leader that an entry can reach, or an empty string. */
  #leaderOf(entry: string): string {
    const { index, term, isCut } = this.world.leader()
    const leads = this.world.isUp(index) && this.world.machine(index)?.leads === true
    const isReached = leads && !isCut && this.#areLinkedBothWays(entry, `d${index}`)
    return isReached ? `leader d${index} ${term}` : ''
  }

  #tellRelay(entry: string, holder: string): void {
    const [kind, leader = '', number] = holder.split(' ')
    const isZone = kind === 'zone' && this.world.fault !== ZoneFault.ResendsToOther
    const news = { leader, term: Number(number ?? 0), isZone }
    this.world.tellRelay(entry, { kind: RelayEventKind.Leader, ...news })
  }

  #tickHolder(i: number, holder: ZoneHolder): void {
    const { world } = this
    const now = world.now()
    const machine = world.machine(i)
    if (machine === undefined) return
    this.#tellOfLeader(i, holder)
    for (const { entry, requestId } of holder.takeAbandoned(now)) {
      const req = { $typeName: 'cherryhitch.v1.AbandonJob', requestId } as const
      world.tell(i, { kind: DispatchEventKind.AbandonJob, from: entry, req })
    }
    const leads = machine.leads && machine.zone === undefined
    const change = holder.tick(now, leads, machine.openJobs)
    if (change === ZoneChange.Begin) {
      const zone = this.zoneOf(`d${i}`)
      const known = { table: makeSimulatedRouting(), drainedZones: new Set<string>() }
      const kind = DispatchEventKind.BecomeZoneDispatcher
      world.tell(i, { kind, ...holder.token, zone, ...known })
    }
    if (change === ZoneChange.Stop) this.#stop(i, holder)
    this.#lastStop.get(i)?.()
    const offer = holder.takeOffer(now)
    if (offer !== undefined) this.#sendOffer(i, offer)
  }

  #tellOfLeader(i: number, holder: ZoneHolder): void {
    const { index, term, isCut } = this.world.leader()
    const isHeard = index === i || this.#areLinkedBothWays(`d${i}`, `d${index}`)
    const leads = this.world.machine(index)?.leads === true
    const isAlone = this.world.machine(index)?.zone !== undefined
    if (isCut || !this.world.isUp(index) || !isHeard || !leads || isAlone) return
    holder.onLeader(this.world.now(), term)
  }

  /** Ends the service, and tells the leader, repeatedly since a message may be lost. */
  #stop(i: number, holder: ZoneHolder): void {
    const { world } = this
    if (world.machine(i)?.zone !== undefined) world.tell(i, { kind: DispatchEventKind.StepDown })
    const { token } = holder
    const zone = this.zoneOf(`d${i}`)
    const until = world.now() + 500
    this.#lastStop.set(i, () => {
      const { index } = world.leader()
      if (world.now() > until) this.#lastStop.delete(i)
      this.#send(`d${i}`, `d${index}`, () => {
        world.tell(index, { kind: DispatchEventKind.ZoneServiceEnded, zone, ...token })
      })
    })
  }

  #sendOffer(i: number, offer: ZoneOffer): void {
    const { world } = this
    const from = `d${i}`
    const zone = this.zoneOf(from)
    const isEmptied = world.fault === ZoneFault.NoListAtEnd && offer.phase === ZonePhase.Ending
    const sent = isEmptied ? { ...offer, open: [] } : offer
    for (const entry of this.entriesOf(zone)) {
      this.#send(from, entry, () => {
        if (!this.isEntryUp(entry)) return
        const join = this.#entries.get(entry)?.zoneEntry.onOffer(world.now(), sent)
        if (join !== undefined) this.#sendJoin(entry, i, join)
      })
    }
    if (offer.phase !== ZonePhase.Forming && offer.phase !== ZonePhase.Serving) return
    for (const [rank, other] of this.#instancesOf(zone).entries()) {
      if (other === i) continue
      const ownRank = this.#instancesOf(zone).indexOf(i)
      this.#send(from, `d${other}`, () => {
        if (rank !== ownRank) this.#holders[other]?.onOtherOffer(world.now(), sent, ownRank)
      })
    }
  }

  #sendJoin(entry: string, i: number, join: ZoneJoin): void {
    const isEmptied = this.world.fault === ZoneFault.NoLists && join.submitted !== undefined
    const sent = isEmptied ? { ...join, submitted: [] } : join
    const holder = this.#holders[i]
    this.#send(entry, `d${i}`, () => {
      if (this.#holders[i] === holder && this.world.isUp(i)) holder?.onJoin(this.world.now(), sent)
    })
  }

  #send(from: string, to: string, deliver: () => void): void {
    if (!this.areLinked(from, to) || this.world.random() < LOST_MESSAGES) return
    this.world.after(WAY_MS, deliver)
  }

  #end(requestId: string, verdict: JobVerdict): void {
    this.world.onOutcome(makeJobOutcome({ requestId, verdict, reason: 'simulated' }))
  }
}
