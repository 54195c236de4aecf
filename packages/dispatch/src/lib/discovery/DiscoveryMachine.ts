import { envelope } from '@cherryhitch/protocol'
import type { AnnounceInstance, Envelope, InstanceDirectory } from '@cherryhitch/protocol'
import { Machine } from '@cherryhitch/runtime'
import type { ProxyInstance } from '../orders/ProxyAssignments'
import { DiscoveryActionKind } from './DiscoveryAction'
import type { DiscoveryAction } from './DiscoveryAction'
import { DiscoveryEventKind } from './DiscoveryEvent'
import type { DiscoveryEvent } from './DiscoveryEvent'
import { defaultDiscoveryTiming } from './DiscoveryTiming'
import type { DiscoveryTiming } from './DiscoveryTiming'
import { KnownInstances } from './KnownInstances'

/** @public */
export interface DiscoveryOptions {
  readonly instance: string
  readonly zone: string
  readonly hostsVoter: boolean
  /** Instances named in the settings; some may be gone. */
  readonly seeds: readonly string[]
  readonly startedAt: number
  readonly timing?: Partial<DiscoveryTiming>
}

type VotersKnown = Extract<DiscoveryEvent, { kind: DiscoveryEventKind.Voters }>

/** What an instance was last told, and when. */
interface Told {
  readonly directory: string
  readonly at: number
}

/**
 * Finds the other instances from a few seeds: everyone announces itself to the hosts of voters,
 * which answer with the hosts that they know and with the leader.
 *
 * @public
 */
export class DiscoveryMachine extends Machine<DiscoveryEvent, DiscoveryAction> {
  readonly #options: DiscoveryOptions
  readonly #timing: DiscoveryTiming
  readonly #known: KnownInstances
  /** When each was last told that this instance leads, in whatever words. */
  readonly #toldAt = new Map<string, number>()
  /** The last directory that each was sent. */
  readonly #told = new Map<string, Told>()
  #peers: readonly string[] = []
  #announceDueAt = -Infinity
  #tellDueAt = Infinity
  #leader = ''
  /**
   * The leader as the own voter knows it. Only this is passed on: two instances that are cut off
   * together would else tell each other of a lost leader again and again.
   */
  #followed = { leader: '', term: 0 }
  #term = 0
  #leaderHeardAt = -Infinity
  #leaderLostAt = -Infinity
  /** When it is known whether the next leader can be found; Infinity while there is one. */
  #searchDueAt = Infinity
  #isLeaving = false
  #out: DiscoveryAction[] = []

  constructor(options: DiscoveryOptions) {
    super()
    this.#options = options
    this.#timing = { ...defaultDiscoveryTiming, ...options.timing }
    this.#known = new KnownInstances(options.instance, options.seeds)
  }

  /** Empty while none is known. */
  get leader(): string {
    return this.#leader
  }

  /** Hosts of voters that may be there, this instance left out. */
  get voterHosts(): readonly string[] {
    return this.#known.voterHosts
  }

  /** Other hosts of voters that hear this instance and are heard by it, and don't stop. */
  helpers(now: number): ProxyInstance[] {
    return this.#known.helpers(now, this.#timing.helperSilentMs)
  }

  override step(now: number, event: DiscoveryEvent): readonly DiscoveryAction[] {
    switch (event.kind) {
      case DiscoveryEventKind.Announced:
        this.#onAnnounced(now, event.from, event.announcement)
        break
      case DiscoveryEventKind.Told:
        this.#onTold(now, event.from, event.directory)
        break
      case DiscoveryEventKind.Voters:
        this.#onVoters(now, event)
        break
      case DiscoveryEventKind.Heard:
        this.#onHeard(now, event.from, event.term)
        break
      case DiscoveryEventKind.Leaving:
        this.#isLeaving = true
        this.#announce(now)
        break
      case DiscoveryEventKind.Answered:
        if (this.#leads) this.#toldAt.set(event.to, now)
        break
    }
    return this.#endStep()
  }

  override tick(now: number): readonly DiscoveryAction[] {
    this.#forget(now)
    if (now >= this.#announceDueAt) this.#announce(now)
    if (now >= this.#tellDueAt) this.#tellFollowers(now)
    if (now >= this.#searchDueAt) this.#endSearch()
    return this.#endStep()
  }

  override get tickDueAt(): number {
    const { leaderSilentMs } = this.#timing
    const silentAt = this.#leader === '' ? Infinity : this.#leaderHeardAt + leaderSilentMs
    return Math.min(this.#announceDueAt, this.#tellDueAt, silentAt, this.#searchDueAt)
  }

  get #leads(): boolean {
    return this.#followed.leader === this.#options.instance
  }

  #onVoters(now: number, { instances, leader, term }: VotersKnown): void {
    this.#known.name(now, instances)
    this.#followed = { leader, term }
    this.#noteLeader(now, leader, term)
    if (leader !== '') this.#leaderHeardAt = now
    else if (this.#leader === this.#options.instance) this.#setLeader(now, '', term)
    if (!this.#leads) this.#tellDueAt = Infinity
    else if (this.#tellDueAt === Infinity) this.#tellDueAt = now
  }

  /** Those that host no voter hear from the leader before they take it for lost. */
  #tellFollowers(now: number): void {
    const { leaderTellsMs } = this.#timing
    let nextAt = now + leaderTellsMs
    for (const name of this.#known.followers) {
      const dueAt = (this.#toldAt.get(name) ?? -Infinity) + leaderTellsMs
      if (now >= dueAt) this.#tell(now, name)
      else nextAt = Math.min(nextAt, dueAt)
    }
    this.#tellDueAt = nextAt
  }

  #endStep(): readonly DiscoveryAction[] {
    this.#refreshPeers()
    const actions = this.#out
    this.#out = []
    return actions
  }

  #onHeard(now: number, from: string, term: number): void {
    if (from !== this.#leader || term !== this.#term) return
    this.#leaderHeardAt = now
  }

  #announce(now: number): void {
    const { zone, hostsVoter, startedAt } = this.#options
    const { announceMs, announceToHostsMs, announceByFollowersMs } = this.#timing
    const calmMs = hostsVoter ? announceToHostsMs : announceByFollowersMs
    this.#announceDueAt = now + (this.#leader === '' ? announceMs : calmMs)
    const leaderless = this.#leader === ''
    const value = { zone, hostsVoter, ageMs: now - startedAt, leaving: this.#isLeaving, leaderless }
    for (const to of this.voterHosts) {
      this.#send(to, envelope({ case: 'announceInstance', value }))
    }
  }

  #onAnnounced(now: number, from: string, announcement: AnnounceInstance): void {
    const isNew = this.#known.announce(now, from, announcement)
    if (isNew && announcement.hostsVoter) {
      this.#out.push({ kind: DiscoveryActionKind.VoterHostSeen, instance: from })
    }
    // A link has to be there before the answer can go out.
    this.#refreshPeers()
    const { hostsVoter, leaderless } = announcement
    if (isNew || hostsVoter || leaderless || this.#hasNewsFor(now, from)) this.#tell(now, from)
  }

  /** Whether an instance was told something else than it would be now, or nothing for long. */
  #hasNewsFor(now: number, instance: string): boolean {
    const told = this.#told.get(instance)
    if (told === undefined || now - told.at >= this.#timing.answerMs) return true
    return told.directory !== this.#directoryText()
  }

  #tell(now: number, to: string): void {
    this.#told.set(to, { directory: this.#directoryText(), at: now })
    this.#toldAt.set(to, now)
    this.#send(to, this.#directory())
  }

  #directoryText(): string {
    const { leader, term } = this.#followed
    return `${leader} ${term} ${this.voterHosts.join(' ')}`
  }

  #directory(): Envelope {
    const { instance, hostsVoter } = this.#options
    const voterHosts = [...this.voterHosts, ...(hostsVoter ? [instance] : [])]
    const value = { voterHosts, ...this.#followed }
    return envelope({ case: 'instanceDirectory', value })
  }

  #onTold(now: number, from: string, { voterHosts, leader, term }: InstanceDirectory): void {
    this.#known.noteAnswer(now, from)
    this.#known.name(now, voterHosts)
    this.#noteLeader(now, leader, term)
    if (from !== this.#leader) return
    if (leader === from) this.#leaderHeardAt = now
    else if (leader === '') this.#setLeader(now, '', Math.max(term, this.#term))
  }

  #noteLeader(now: number, leader: string, term: number): void {
    if (leader === '' || term < this.#term) return
    if (leader === this.#leader && term === this.#term) return
    this.#setLeader(now, leader, term)
    // It has this long to answer for itself.
    this.#leaderHeardAt = now
  }

  #setLeader(now: number, leader: string, term: number): void {
    const wasOwn = this.#leader === this.#options.instance
    this.#leader = leader
    this.#term = term
    this.#out.push({ kind: DiscoveryActionKind.LeaderChanged, leader, term })
    // Whoever has lost its leader asks all hosts for the next one, at once and often.
    if (leader === '') {
      this.#announceDueAt = now
      this.#leaderLostAt = now
      this.#searchDueAt = now + this.#timing.searchMs
    } else {
      this.#searchDueAt = Infinity
    }
    // All who rely on this instance hear of it at once.
    if (!this.#options.hostsVoter || (leader !== this.#options.instance && !wasOwn)) return
    for (const to of this.#known.announced) this.#tell(now, to)
  }

  /** Those that could elect the next leader, or know of it, have answered by now. */
  #endSearch(): void {
    this.#searchDueAt = Infinity
    const answered = this.#known.answeredSince(this.#leaderLostAt).length
    if (this.#options.hostsVoter || 2 * answered > this.voterHosts.length) return
    this.#out.push({ kind: DiscoveryActionKind.NoLeaderInReach })
  }

  #forget(now: number): void {
    const { forgetMs, leaderSilentMs } = this.#timing
    this.#known.forget(now, forgetMs)
    for (const [name, { at }] of this.#told) if (now - at > forgetMs) this.#told.delete(name)
    for (const [name, at] of this.#toldAt) if (now - at > forgetMs) this.#toldAt.delete(name)
    if (this.#leader !== '' && now - this.#leaderHeardAt > leaderSilentMs) {
      this.#setLeader(now, '', this.#term)
    }
  }

  #refreshPeers(): void {
    const peers = this.#known.all
    if (peers === this.#peers) return
    const isSame = peers.join(' ') === this.#peers.join(' ')
    this.#peers = peers
    if (!isSame) this.#out.unshift({ kind: DiscoveryActionKind.SetPeers, instances: peers })
  }

  #send(to: string, message: Envelope): void {
    this.#out.push({ kind: DiscoveryActionKind.Send, to, envelope: message })
  }
}
