import { envelope } from '@cherryhitch/protocol'
import type { AnnounceInstance, Envelope, InstanceDirectory } from '@cherryhitch/protocol'
import { StateMachine } from '@cherryhitch/runtime'
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

type VotersEvent = Extract<DiscoveryEvent, { kind: DiscoveryEventKind.Voters }>

/** The directory that an instance was last sent, and when. */
interface SentDirectory {
  readonly directory: string
  readonly sentAt: number
}

/**
 * Discovers the other instances and the leader from a few seeds: every instance announces itself to
 * the voter hosts, which answer with a directory of the voter hosts that they know first-hand, and
 * the leader.
 *
 * @public
 */
export class DiscoveryMachine extends StateMachine<DiscoveryEvent, DiscoveryAction> {
  readonly #options: DiscoveryOptions
  readonly #timing: DiscoveryTiming
  readonly #known: KnownInstances
  /** When each instance was last sent any message that shows that this instance leads. */
  readonly #leadershipSentAt = new Map<string, number>()
  /** The last directory sent to each instance. */
  readonly #sentDirectories = new Map<string, SentDirectory>()
  #peers: readonly string[] = []
  #announceDueAt = -Infinity
  #heartbeatDueAt = Infinity
  #leader = ''
  /**
   * The leader that the local voter follows. Only this one is sent to other instances; otherwise
   * two instances in the same network partition would keep reporting a lost leader to each other.
   */
  #voterView = { leader: '', term: 0 }
  #term = 0
  #leaderHeardAt = -Infinity
  #leaderLostAt = -Infinity
  /** When the search for the next leader ends; Infinity while no search is running. */
  #searchDueAt = Infinity
  #isLeaving = false
  #actions: DiscoveryAction[] = []

  constructor(options: DiscoveryOptions) {
    super()
    this.#options = options
    this.#timing = { ...defaultDiscoveryTiming, ...options.timing }
    this.#known = new KnownInstances(options.instance, options.seeds)
  }

  /** Name of the leader; empty while none is known. */
  get leader(): string {
    return this.#leader
  }

  /** Known voter hosts other than this instance; some may be gone. */
  get voterHosts(): readonly string[] {
    return this.#known.voterHosts
  }

  /** Voter hosts that have answered since the leader was lost, or since the start. */
  get answeredHosts(): readonly string[] {
    return this.#known.answeredSince(this.#leaderLostAt)
  }

  /** Other voter hosts with a working link in both directions that are not about to stop. */
  proxyCandidates(now: number): ProxyInstance[] {
    return this.#known.proxyCandidates(now, this.#timing.proxyCandidateTimeoutMs)
  }

  override step(now: number, event: DiscoveryEvent): readonly DiscoveryAction[] {
    switch (event.kind) {
      case DiscoveryEventKind.Announced:
        this.#onAnnounced(now, event.from, event.announcement)
        break
      case DiscoveryEventKind.DirectoryReceived:
        this.#onDirectory(now, event.from, event.directory)
        break
      case DiscoveryEventKind.Voters:
        this.#onVoters(now, event)
        break
      case DiscoveryEventKind.LeaderMessageReceived:
        this.#onLeaderMessage(now, event.from, event.term)
        break
      case DiscoveryEventKind.Leaving:
        this.#isLeaving = true
        this.#announce(now)
        break
      case DiscoveryEventKind.LeaderMessageSent:
        if (this.#leads) this.#leadershipSentAt.set(event.to, now)
        break
    }
    return this.#takeActions()
  }

  override tick(now: number): readonly DiscoveryAction[] {
    this.#expire(now)
    if (now >= this.#announceDueAt) this.#announce(now)
    if (now >= this.#heartbeatDueAt) this.#sendHeartbeats(now)
    if (now >= this.#searchDueAt) this.#endSearch()
    return this.#takeActions()
  }

  override get tickDueAt(): number {
    const { leaderTimeoutMs } = this.#timing
    const silentAt = this.#leader === '' ? Infinity : this.#leaderHeardAt + leaderTimeoutMs
    return Math.min(this.#announceDueAt, this.#heartbeatDueAt, silentAt, this.#searchDueAt)
  }

  get #leads(): boolean {
    return this.#voterView.leader === this.#options.instance
  }

  #onVoters(now: number, { instances, leader, term }: VotersEvent): void {
    this.#known.recordMembers(now, instances)
    this.#voterView = { leader, term }
    this.#updateLeader(now, leader, term)
    if (leader !== '') this.#leaderHeardAt = now
    else if (this.#leader === this.#options.instance) this.#setLeader(now, '', term)
    if (!this.#leads) this.#heartbeatDueAt = Infinity
    else if (this.#heartbeatDueAt === Infinity) this.#heartbeatDueAt = now
  }

  /**
   * Sends a heartbeat to each instance without a voter to which this leader has sent nothing for a
   * heartbeat interval, so that it doesn't consider the leader lost.
   */
  #sendHeartbeats(now: number): void {
    const { leaderHeartbeatIntervalMs } = this.#timing
    let nextAt = now + leaderHeartbeatIntervalMs
    for (const name of this.#known.nonVoters) {
      const dueAt = (this.#leadershipSentAt.get(name) ?? -Infinity) + leaderHeartbeatIntervalMs
      if (now >= dueAt) this.#advertise(now, name)
      else nextAt = Math.min(nextAt, dueAt)
    }
    this.#heartbeatDueAt = nextAt
  }

  #takeActions(): readonly DiscoveryAction[] {
    this.#refreshPeers()
    const actions = this.#actions
    this.#actions = []
    return actions
  }

  #onLeaderMessage(now: number, from: string, term: number): void {
    if (from !== this.#leader || term !== this.#term) return
    this.#leaderHeardAt = now
  }

  #announce(now: number): void {
    const { zone, hostsVoter, startedAt } = this.#options
    const {
      leaderlessAnnounceIntervalMs,
      voterHostAnnounceIntervalMs,
      nonVoterAnnounceIntervalMs,
    } = this.#timing
    const intervalMs = hostsVoter ? voterHostAnnounceIntervalMs : nonVoterAnnounceIntervalMs
    this.#announceDueAt = now + (this.#leader === '' ? leaderlessAnnounceIntervalMs : intervalMs)
    const leaderless = this.#leader === ''
    const value = { zone, hostsVoter, ageMs: now - startedAt, leaving: this.#isLeaving, leaderless }
    for (const to of this.voterHosts) {
      this.#send(to, envelope({ case: 'announceInstance', value }))
    }
  }

  #onAnnounced(now: number, from: string, announcement: AnnounceInstance): void {
    const isNew = this.#known.recordAnnouncement(now, from, announcement)
    if (isNew && announcement.hostsVoter) {
      this.#actions.push({ kind: DiscoveryActionKind.VoterHostSeen, instance: from })
    }
    // The link to the sender must exist before the answer can be sent.
    this.#refreshPeers()
    const { hostsVoter, leaderless } = announcement
    if (isNew || hostsVoter || leaderless || this.#isOutdated(now, from)) this.#advertise(now, from)
  }

  /** True if an instance was not sent the current directory, or not within the refresh interval. */
  #isOutdated(now: number, instance: string): boolean {
    const last = this.#sentDirectories.get(instance)
    if (last === undefined || now - last.sentAt >= this.#timing.refreshIntervalMs) return true
    return last.directory !== this.#directoryKey(now)
  }

  /** Sends the directory to an instance. */
  #advertise(now: number, to: string): void {
    this.#sentDirectories.set(to, { directory: this.#directoryKey(now), sentAt: now })
    this.#leadershipSentAt.set(to, now)
    this.#send(to, this.#directory(now))
  }

  #directHosts(now: number): readonly string[] {
    return this.#known.directHosts(now, this.#timing.directHostTimeoutMs)
  }

  #directoryKey(now: number): string {
    const { leader, term } = this.#voterView
    return `${leader} ${term} ${this.#directHosts(now).join(' ')}`
  }

  #directory(now: number): Envelope {
    const { instance, hostsVoter } = this.#options
    const voterHosts = [...this.#directHosts(now), ...(hostsVoter ? [instance] : [])]
    const value = { voterHosts, ...this.#voterView }
    return envelope({ case: 'instanceDirectory', value })
  }

  #onDirectory(now: number, from: string, { voterHosts, leader, term }: InstanceDirectory): void {
    this.#known.recordAnswer(now, from)
    this.#known.recordVoterHosts(now, voterHosts)
    this.#updateLeader(now, leader, term)
    if (from !== this.#leader) return
    if (leader === from) this.#leaderHeardAt = now
    else if (leader === '') this.#setLeader(now, '', Math.max(term, this.#term))
  }

  #updateLeader(now: number, leader: string, term: number): void {
    if (leader === '' || term < this.#term) return
    if (leader === this.#leader && term === this.#term) return
    this.#setLeader(now, leader, term)
    // The leader must send a message itself within its timeout, which starts here.
    this.#leaderHeardAt = now
  }

  #setLeader(now: number, leader: string, term: number): void {
    const wasOwn = this.#leader === this.#options.instance
    this.#leader = leader
    this.#term = term
    this.#actions.push({ kind: DiscoveryActionKind.LeaderChanged, leader, term })
    // Without a leader, ask all voter hosts for the next one immediately and at short intervals.
    if (leader === '') {
      this.#announceDueAt = now
      this.#leaderLostAt = now
      this.#searchDueAt = now + this.#timing.leaderSearchMs
    } else {
      this.#searchDueAt = Infinity
    }
    // If this instance became or ceased to be the leader, notify all announced instances.
    if (!this.#options.hostsVoter || (leader !== this.#options.instance && !wasOwn)) return
    for (const to of this.#known.announced) this.#advertise(now, to)
  }

  /**
   * Reports that no majority of the voter hosts has answered by the end of the search. Only hosts that
   * have answered or that an answer lists are counted: seeds and other known hosts may be gone.
   */
  #endSearch(): void {
    this.#searchDueAt = Infinity
    const answered = this.#known.answeredSince(this.#leaderLostAt).length
    const listed = this.#known.listedSince(this.#leaderLostAt).length
    if (this.#options.hostsVoter || 2 * answered > listed) return
    this.#actions.push({ kind: DiscoveryActionKind.QuorumUnreachable })
  }

  #expire(now: number): void {
    const { peerExpiryMs, refreshIntervalMs, leaderTimeoutMs } = this.#timing
    // Others list a host for a while after it is gone.
    this.#known.expire(now, peerExpiryMs, peerExpiryMs - refreshIntervalMs)
    for (const [name, { sentAt }] of this.#sentDirectories)
      if (now - sentAt > peerExpiryMs) this.#sentDirectories.delete(name)
    for (const [name, at] of this.#leadershipSentAt)
      if (now - at > peerExpiryMs) this.#leadershipSentAt.delete(name)
    if (this.#leader !== '' && now - this.#leaderHeardAt > leaderTimeoutMs) {
      this.#setLeader(now, '', this.#term)
    }
  }

  #refreshPeers(): void {
    const peers = this.#known.all
    if (peers === this.#peers) return
    const isSame = peers.join(' ') === this.#peers.join(' ')
    this.#peers = peers
    if (!isSame) this.#actions.unshift({ kind: DiscoveryActionKind.SetPeers, instances: peers })
  }

  #send(to: string, message: Envelope): void {
    this.#actions.push({ kind: DiscoveryActionKind.Send, to, envelope: message })
  }
}
