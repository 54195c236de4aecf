import type { AnnounceInstance } from '@cherryhitch/protocol'
import type { ProxyInstance } from '../orders/ProxyAssignments'

/** What an instance said of itself. */
interface Announced {
  readonly zone: string
  readonly hostsVoter: boolean
  readonly isLeaving: boolean
  readonly heardAt: number
  readonly startedAt: number
}

/** Start times of one process, reckoned from its ages, differ by less than this. */
const SAME_START_MS = 1_000

/**
 * The other instances, as they announced themselves and as others name them.
 *
 * Its lists are kept until a name comes or goes: made anew for each message, those of 33 instances took a
 * leader longer than all else that it does for discovery.
 *
 * @internal
 */
export class KnownInstances {
  readonly #announced = new Map<string, Announced>()
  /** Hosts of voters that others name, and when they last did. */
  readonly #named = new Map<string, number>()
  /** When each last answered an announcement. */
  readonly #answeredAt = new Map<string, number>()
  #voterHosts: readonly string[] | undefined
  #all: readonly string[] | undefined

  constructor(
    private readonly own: string,
    private readonly seeds: readonly string[],
  ) {}

  /** Hosts of voters that may be there. */
  get voterHosts(): readonly string[] {
    this.#voterHosts ??= this.#listVoterHosts()
    return this.#voterHosts
  }

  /** All of them, in the order of their names. The list is the same one until one comes or goes. */
  get all(): readonly string[] {
    this.#all ??= [...new Set([...this.voterHosts, ...this.#announced.keys()])].sort()
    return this.#all
  }

  /** Those that announced themselves. */
  get announced(): IterableIterator<string> {
    return this.#announced.keys()
  }

  /** Those of them that host no voter, and so don't follow the leader by themselves. */
  get followers(): readonly string[] {
    return [...this.#announced].flatMap(([name, { hostsVoter }]) => (hostsVoter ? [] : name))
  }

  /** Takes an announcement in; true when its process was not known. */
  announce(now: number, from: string, announcement: AnnounceInstance): boolean {
    const { zone, hostsVoter, ageMs, leaving: isLeaving } = announcement
    const startedAt = now - ageMs
    const known = this.#announced.get(from)
    this.#announced.set(from, { zone, hostsVoter, isLeaving, heardAt: now, startedAt })
    if (known?.hostsVoter !== hostsVoter) this.#forgetLists()
    return known === undefined || Math.abs(known.startedAt - startedAt) > SAME_START_MS
  }

  /** Another instance names hosts of voters. */
  name(now: number, hosts: readonly string[]): void {
    for (const host of hosts) {
      if (!this.#named.has(host)) this.#forgetLists()
      this.#named.set(host, now)
    }
  }

  noteAnswer(now: number, from: string): void {
    this.#answeredAt.set(from, now)
  }

  /** Hosts of voters that have answered an announcement since a time. */
  answeredSince(time: number): readonly string[] {
    return this.voterHosts.filter((host) => (this.#answeredAt.get(host) ?? -Infinity) > time)
  }

  /** Other hosts of voters that were heard and have answered within a time, and don't stop. */
  helpers(now: number, withinMs: number): ProxyInstance[] {
    return [...this.#announced].flatMap(([instance, { zone, hostsVoter, isLeaving, heardAt }]) => {
      const answeredAt = this.#answeredAt.get(instance) ?? -Infinity
      const isSilent = now - Math.min(heardAt, answeredAt) > withinMs
      return hostsVoter && !isLeaving && !isSilent ? [{ instance, zone }] : []
    })
  }

  /** Forgets what is older than a time. */
  forget(now: number, afterMs: number): void {
    const isOld = (at: number): boolean => now - at > afterMs
    for (const [name, { heardAt }] of this.#announced) {
      if (isOld(heardAt) && this.#announced.delete(name)) this.#forgetLists()
    }
    for (const [name, at] of this.#answeredAt) if (isOld(at)) this.#answeredAt.delete(name)
    for (const [name, at] of this.#named) {
      if (isOld(at) && this.#named.delete(name)) this.#forgetLists()
    }
  }

  #forgetLists(): void {
    this.#voterHosts = undefined
    this.#all = undefined
  }

  #listVoterHosts(): readonly string[] {
    const hosts = [...this.#announced].flatMap(([name, { hostsVoter }]) => (hostsVoter ? name : []))
    const all = new Set([...this.seeds, ...hosts, ...this.#named.keys()])
    all.delete(this.own)
    return [...all]
  }
}
