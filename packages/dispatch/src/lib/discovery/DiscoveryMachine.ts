import { envelope } from '@cherryhitch/protocol'
import type { AnnounceInstance, Envelope, InstanceDirectory } from '@cherryhitch/protocol'
import { Machine } from '@cherryhitch/runtime'
import type { ProxyInstance } from '../orders/ProxyAssignments'

/** Times of discovery, in milliseconds. @public */
export interface DiscoveryTiming {
  /** Between two announcements to the leader, or to all hosts of voters while there is none. */
  readonly announceMs: number
  /** Between two announcements to the other hosts of voters. */
  readonly announceToOthersMs: number
  /** An instance that was silent for longer is no peer any more. */
  readonly forgetMs: number
  /** A leader that was silent for longer is taken for lost. */
  readonly leaderSilentMs: number
  /**
   * A host of voters that neither announced itself nor answered for longer is no help now. Two
   * announcements fit in, so that one may be lost.
   */
  readonly helperSilentMs: number
}

/**
 * Only the leader has to be watched closely; at 28 entries and 6 hosts of voters, announcements to
 * all of them at its pace took each host a tenth of a core. An announcement costs one small message; four fit into the time after which a leader counts as
 * lost. An election takes as long, so that callers are sent on about when the next one leads.
 *
 * @public
 */
export const defaultDiscoveryTiming: DiscoveryTiming = {
  announceMs: 100,
  announceToOthersMs: 500,
  forgetMs: 15_000,
  leaderSilentMs: 450,
  helperSilentMs: 1_200,
}

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

/** @public */
export enum DiscoveryEventKind {
  Announced = 'announced',
  Told = 'told',
  /** Instances that the replicated log names as hosts of voters, and who leads. */
  Voters = 'voters',
  /** This process was told to stop. */
  Leaving = 'leaving',
  /** A message came that only the leader of a term sends. */
  Heard = 'heard',
}

/** @public */
export type DiscoveryEvent =
  | {
      readonly kind: DiscoveryEventKind.Announced
      readonly from: string
      readonly announcement: AnnounceInstance
    }
  | {
      readonly kind: DiscoveryEventKind.Told
      readonly from: string
      readonly directory: InstanceDirectory
    }
  | {
      readonly kind: DiscoveryEventKind.Voters
      readonly instances: readonly string[]
      readonly leader: string
      readonly term: number
    }
  | { readonly kind: DiscoveryEventKind.Leaving }
  | {
      readonly kind: DiscoveryEventKind.Heard
      readonly from: string
      readonly term: number
    }

/** @public */
export enum DiscoveryActionKind {
  Send = 'send',
  SetPeers = 'set_peers',
  /** An instance that hosts a voter was heard for the first time, or has restarted. */
  VoterHostSeen = 'voter_host_seen',
  LeaderChanged = 'leader_changed',
}

/** @public */
export type DiscoveryAction =
  | { readonly kind: DiscoveryActionKind.Send; readonly to: string; readonly envelope: Envelope }
  | { readonly kind: DiscoveryActionKind.SetPeers; readonly instances: readonly string[] }
  | { readonly kind: DiscoveryActionKind.VoterHostSeen; readonly instance: string }
  | {
      readonly kind: DiscoveryActionKind.LeaderChanged
      /** Empty while none is known. */
      readonly leader: string
      readonly term: number
    }

interface Heard {
  readonly zone: string
  readonly hostsVoter: boolean
  readonly isLeaving: boolean
  readonly heardAt: number
  readonly startedAt: number
}

/** Start times of one process, reckoned from its ages, differ by less than this. */
const SAME_START_MS = 1_000

/**
 * Finds the other instances from a few seeds: everyone announces itself to the hosts of voters,
 * which answer with the hosts that they know and with the leader.
 *
 * @public
 */
export class DiscoveryMachine extends Machine<DiscoveryEvent, DiscoveryAction> {
  readonly #options: DiscoveryOptions
  readonly #timing: DiscoveryTiming
  readonly #heard = new Map<string, Heard>()
  /** Hosts of voters that others name, and when they last did. */
  readonly #told = new Map<string, number>()
  /** When each last answered an announcement. */
  readonly #answeredAt = new Map<string, number>()
  #peers: readonly string[] = []
  #announceDueAt = -Infinity
  #announceToOthersDueAt = -Infinity
  #leader = ''
  /**
   * The leader as the own voter knows it. Only this is passed on: two instances that are cut off
   * together would else tell each other of a lost leader again and again.
   */
  #followed = { leader: '', term: 0 }
  #term = 0
  #leaderHeardAt = -Infinity
  /** When the leader last answered a job. */
  #leaderWorkedAt = -Infinity
  #isLeaving = false
  #out: DiscoveryAction[] = []

  constructor(options: DiscoveryOptions) {
    super()
    this.#options = options
    this.#timing = { ...defaultDiscoveryTiming, ...options.timing }
  }

  /** Empty while none is known. */
  get leader(): string {
    return this.#leader
  }

  /** Hosts of voters that may be there, this instance left out. */
  get voterHosts(): readonly string[] {
    const heard = [...this.#heard].flatMap(([name, { hostsVoter }]) => (hostsVoter ? name : []))
    const all = new Set([...this.#options.seeds, ...heard, ...this.#told.keys()])
    all.delete(this.#options.instance)
    return [...all]
  }

  /** Other hosts of voters that hear this instance and are heard by it, and don't stop. */
  helpers(now: number): ProxyInstance[] {
    const { helperSilentMs } = this.#timing
    return [...this.#heard].flatMap(([instance, { zone, hostsVoter, isLeaving, heardAt }]) => {
      const answeredAt = this.#answeredAt.get(instance) ?? -Infinity
      const isSilent = now - Math.min(heardAt, answeredAt) > helperSilentMs
      return hostsVoter && !isLeaving && !isSilent ? [{ instance, zone }] : []
    })
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
        for (const instance of event.instances) this.#told.set(instance, now)
        this.#followed = { leader: event.leader, term: event.term }
        this.#noteLeader(now, event.leader, event.term)
        if (event.leader !== '') this.#leaderHeardAt = now
        else if (this.#leader === this.#options.instance) this.#setLeader('', event.term)
        break
      case DiscoveryEventKind.Heard:
        this.#onHeard(now, event.from, event.term)
        break
      case DiscoveryEventKind.Leaving:
        this.#isLeaving = true
        this.#announceToOthersDueAt = now
        this.#announce(now)
        break
    }
    return this.#endStep()
  }

  override tick(now: number): readonly DiscoveryAction[] {
    this.#forget(now)
    if (now >= this.#announceDueAt) this.#announce(now)
    return this.#endStep()
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
    this.#leaderWorkedAt = now
  }

  #announce(now: number): void {
    this.#announceDueAt = now + this.#timing.announceMs
    const { zone, hostsVoter, startedAt } = this.#options
    const value = { zone, hostsVoter, ageMs: now - startedAt, leaving: this.#isLeaving }
    const toAll = this.#leader === '' || now >= this.#announceToOthersDueAt
    if (toAll) this.#announceToOthersDueAt = now + this.#timing.announceToOthersMs
    // A leader whose answers to jobs have just come needn't be asked whether it is there: with
    // answers and receipts, 28 entries that ask ten times a second make 1,120 frames a second.
    const isHeard = now - this.#leaderWorkedAt < this.#timing.announceMs / 2
    const receivers = this.voterHosts.filter((host) => {
      return toAll || (host === this.#leader && !isHeard)
    })
    for (const to of receivers) this.#send(to, envelope({ case: 'announceInstance', value }))
  }

  #onAnnounced(now: number, from: string, announcement: AnnounceInstance): void {
    const { zone, hostsVoter, ageMs, leaving: isLeaving } = announcement
    const startedAt = now - ageMs
    const known = this.#heard.get(from)
    const isNew = known === undefined || Math.abs(known.startedAt - startedAt) > SAME_START_MS
    this.#heard.set(from, { zone, hostsVoter, isLeaving, heardAt: now, startedAt })
    if (isNew && hostsVoter) {
      this.#out.push({ kind: DiscoveryActionKind.VoterHostSeen, instance: from })
    }
    // A link has to be there before the answer can go out.
    this.#refreshPeers()
    this.#send(from, this.#directory())
  }

  #directory(): Envelope {
    const { instance, hostsVoter } = this.#options
    const voterHosts = [...this.voterHosts, ...(hostsVoter ? [instance] : [])]
    const value = { voterHosts, ...this.#followed }
    return envelope({ case: 'instanceDirectory', value })
  }

  #onTold(now: number, from: string, { voterHosts, leader, term }: InstanceDirectory): void {
    this.#answeredAt.set(from, now)
    for (const instance of voterHosts) this.#told.set(instance, now)
    this.#noteLeader(now, leader, term)
    if (from !== this.#leader) return
    if (leader === from) this.#leaderHeardAt = now
    else if (leader === '') this.#setLeader('', Math.max(term, this.#term))
  }

  #noteLeader(now: number, leader: string, term: number): void {
    if (leader === '' || term < this.#term) return
    if (leader === this.#leader && term === this.#term) return
    this.#setLeader(leader, term)
    // It has this long to answer for itself.
    this.#leaderHeardAt = now
  }

  #setLeader(leader: string, term: number): void {
    const wasOwn = this.#leader === this.#options.instance
    this.#leader = leader
    this.#term = term
    this.#out.push({ kind: DiscoveryActionKind.LeaderChanged, leader, term })
    // All who rely on this instance hear of it at once.
    if (!this.#options.hostsVoter || (leader !== this.#options.instance && !wasOwn)) return
    for (const to of this.#heard.keys()) this.#send(to, this.#directory())
  }

  #forget(now: number): void {
    const { forgetMs, leaderSilentMs } = this.#timing
    for (const [name, { heardAt }] of this.#heard) {
      if (now - heardAt > forgetMs) this.#heard.delete(name)
    }
    for (const [name, at] of this.#answeredAt) {
      if (now - at > forgetMs) this.#answeredAt.delete(name)
    }
    for (const [name, at] of this.#told) if (now - at > forgetMs) this.#told.delete(name)
    if (this.#leader !== '' && now - this.#leaderHeardAt > leaderSilentMs) {
      this.#setLeader('', this.#term)
    }
  }

  #refreshPeers(): void {
    const { instance } = this.#options
    const all = new Set([...this.voterHosts, ...this.#heard.keys()])
    all.delete(instance)
    const peers = [...all].sort()
    if (peers.join(' ') === this.#peers.join(' ')) return
    this.#peers = peers
    this.#out.unshift({ kind: DiscoveryActionKind.SetPeers, instances: peers })
  }

  #send(to: string, message: Envelope): void {
    this.#out.push({ kind: DiscoveryActionKind.Send, to, envelope: message })
  }
}
