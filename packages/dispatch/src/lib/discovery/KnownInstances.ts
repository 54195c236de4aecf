import type { AnnounceInstance } from '@cherryhitch/protocol'
import type { ProxyInstance } from '../orders/ProxyAssignments'

/** The content of an instance's last announcement. */
interface AnnouncedInstance {
  readonly zone: string
  readonly hostsVoter: boolean
  readonly isLeaving: boolean
  readonly heardAt: number
  readonly startedAt: number
}

/** Start times computed from the announced ages of one process differ by less, in milliseconds. */
const START_TIME_TOLERANCE_MS = 1_000
/** Live instances send directories or announcements far more often than this, in milliseconds. */
const CONTACT_GAP_MS = 5_000
/** A list of hosts is rebuilt after this long, as some may have fallen silent, in milliseconds. */
const LIST_LIFETIME_MS = 100

/** Voter hosts, as known at a time. */
interface TimedList {
  readonly hosts: readonly string[]
  readonly madeAt: number
}

/**
 * The other instances, from their own announcements and from the directories of others.
 *
 * The lists are cached until an instance is added or removed. When they were rebuilt for each
 * message, the lists of 33 instances took a leader longer than the rest of discovery together.
 *
 * @internal
 */
export class KnownInstances {
  readonly #announced = new Map<string, AnnouncedInstance>()
  /** When each voter host was last listed in a directory of another instance. */
  readonly #reportedHosts = new Map<string, number>()
  /** Voter hosts that the log of the own voter names. */
  #members: readonly string[] = []
  /** When each instance last answered an announcement. */
  readonly #answeredAt = new Map<string, number>()
  /** When any other instance was last heard. */
  #lastContactAt = -Infinity
  #voterHosts: readonly string[] | undefined
  #directHosts: TimedList | undefined
  #all: readonly string[] | undefined

  constructor(
    private readonly own: string,
    private readonly seeds: readonly string[],
  ) {}

  /** Known voter hosts, including the seeds; some may be gone. */
  get voterHosts(): readonly string[] {
    this.#voterHosts ??= this.#listVoterHosts()
    return this.#voterHosts
  }

  /** All known instances, sorted by name. Returns the same array until the set changes. */
  get all(): readonly string[] {
    this.#all ??= [...new Set([...this.voterHosts, ...this.#announced.keys()])].sort()
    return this.#all
  }

  /** Instances that announced themselves. */
  get announced(): IterableIterator<string> {
    return this.#announced.keys()
  }

  /** Announced instances without a voter, which don't follow the leader through a voter. */
  get nonVoters(): readonly string[] {
    return [...this.#announced].flatMap(([name, { hostsVoter }]) => (hostsVoter ? [] : name))
  }

  /** Records an announcement. Returns true if it is the first one of its process. */
  recordAnnouncement(now: number, from: string, announcement: AnnounceInstance): boolean {
    this.#recordContact(now)
    const { zone, hostsVoter, ageMs, leaving: isLeaving } = announcement
    const startedAt = now - ageMs
    const known = this.#announced.get(from)
    this.#announced.set(from, { zone, hostsVoter, isLeaving, heardAt: now, startedAt })
    if (known?.hostsVoter !== hostsVoter) this.#invalidateLists()
    return known === undefined || Math.abs(known.startedAt - startedAt) > START_TIME_TOLERANCE_MS
  }

  /** Records the voter hosts that the log of the own voter names. */
  recordMembers(now: number, hosts: readonly string[]): void {
    if (hosts.join(' ') !== this.#members.join(' ')) this.#invalidateLists()
    this.#members = hosts
    this.recordVoterHosts(now, hosts)
  }

  /**
   * Other voter hosts that this instance knows from themselves or from its own voter. What others
   * have listed is left out: otherwise two instances would report a host that is gone to each other
   * for good.
   */
  directHosts(now: number, withinMs: number): readonly string[] {
    const list = this.#directHosts
    if (list !== undefined && now - list.madeAt < LIST_LIFETIME_MS) return list.hosts
    const hosts = this.#listDirectHosts(now - withinMs)
    this.#directHosts = { hosts, madeAt: now }
    return hosts
  }

  /** Records the voter hosts that another instance lists. */
  recordVoterHosts(now: number, hosts: readonly string[]): void {
    for (const host of hosts) {
      if (!this.#reportedHosts.has(host)) this.#invalidateLists()
      this.#reportedHosts.set(host, now)
    }
  }

  recordAnswer(now: number, from: string): void {
    this.#recordContact(now)
    if (!this.#answeredAt.has(from)) this.#directHosts = undefined
    this.#answeredAt.set(from, now)
  }

  /** Voter hosts that have answered an announcement after a given time. */
  answeredSince(time: number): readonly string[] {
    return this.voterHosts.filter((host) => (this.#answeredAt.get(host) ?? -Infinity) > time)
  }

  /** Voter hosts that have answered, or that an answer has listed, after a given time. */
  listedSince(time: number): readonly string[] {
    return this.voterHosts.filter((host) => {
      const listedAt = this.#reportedHosts.get(host) ?? -Infinity
      return Math.max(listedAt, this.#answeredAt.get(host) ?? -Infinity) > time
    })
  }

  /** Voter hosts that have both announced themselves and answered recently, and are not leaving. */
  proxyCandidates(now: number, withinMs: number): ProxyInstance[] {
    return [...this.#announced].flatMap(([instance, { zone, hostsVoter, isLeaving, heardAt }]) => {
      const answeredAt = this.#answeredAt.get(instance) ?? -Infinity
      const isSilent = now - Math.min(heardAt, answeredAt) > withinMs
      return hostsVoter && !isLeaving && !isSilent ? [{ instance, zone }] : []
    })
  }

  /**
   * Removes what was last updated more than `afterMs` ago, and voter hosts that were last listed more
   * than `listedAfterMs` ago. For voter hosts, only time with contact to other instances counts: an
   * instance that was cut off for long needs them to find the others again, as its seeds may be gone.
   */
  expire(now: number, afterMs: number, listedAfterMs: number): void {
    const isOld = (at: number): boolean => now - at > afterMs
    for (const [name, { heardAt, hostsVoter }] of this.#announced) {
      if (!isOld(heardAt)) continue
      this.#announced.delete(name)
      if (hostsVoter && !this.#reportedHosts.has(name)) this.#reportedHosts.set(name, heardAt)
      this.#invalidateLists()
    }
    for (const [name, at] of this.#answeredAt) if (isOld(at)) this.#answeredAt.delete(name)
    for (const [name, at] of this.#reportedHosts) {
      const isGone = this.#lastContactAt - at > listedAfterMs
      if (isGone && this.#reportedHosts.delete(name)) this.#invalidateLists()
    }
  }

  /** Excludes the time without contact from the ages of the reported voter hosts. */
  #recordContact(now: number): void {
    const gapMs = now - this.#lastContactAt
    this.#lastContactAt = now
    if (gapMs <= CONTACT_GAP_MS) return
    for (const [name, at] of this.#reportedHosts) {
      this.#reportedHosts.set(name, Math.min(now, at + gapMs))
    }
  }

  #invalidateLists(): void {
    this.#voterHosts = undefined
    this.#directHosts = undefined
    this.#all = undefined
  }

  /** Members, and voter hosts that have announced themselves or answered since a given time. */
  #listDirectHosts(since: number): readonly string[] {
    const members = new Set(this.#members)
    return this.voterHosts.filter((host) => {
      const heardAt = this.#announced.get(host)?.heardAt ?? -Infinity
      const answeredAt = this.#answeredAt.get(host) ?? -Infinity
      return members.has(host) || Math.max(heardAt, answeredAt) >= since
    })
  }

  #listVoterHosts(): readonly string[] {
    const hosts = [...this.#announced].flatMap(([name, { hostsVoter }]) => (hostsVoter ? name : []))
    const all = new Set([...this.seeds, ...hosts, ...this.#reportedHosts.keys()])
    all.delete(this.own)
    return [...all]
  }
}
