import { SubmittedJobs } from './SubmittedJobs'
import { ZonePhase } from './ZoneMessages'
import type { ZoneJoin, ZoneOffer } from './ZoneMessages'
import { isHigher } from './ZoneToken'
import type { ZoneToken } from './ZoneToken'
import { defaultZoneTiming, jobHorizonMs, leaveAfterMs } from './ZoneTiming'
import type { ZoneTiming } from './ZoneTiming'

/** Where an entry sends new jobs. @internal */
export enum ZoneMembership {
  /** Nowhere: it has just started, or has lost its zone dispatcher, whose jobs it doesn't know. */
  Unsure = 'unsure',
  /** To the leader. */
  Leader = 'leader',
  /** To the zone dispatcher that it joined, while it hears it. */
  Joined = 'joined',
}

/** @internal */
export interface ZoneEntryOptions {
  readonly name: string
  /** The dispatching instances of its zone. */
  readonly holders: readonly string[]
  readonly startedAt: number
  /** False only for the first start of the whole system. */
  readonly mayHaveRunBefore: boolean
  readonly timing?: Partial<ZoneTiming>
}

/**
 * The part of an entry in serving a zone that is cut off: decides to whom the entry may send jobs,
 * and keeps the ids of those that it sent, so that no two holders have the same job.
 *
 * @internal
 */
export class ZoneEntry {
  readonly #timing: ZoneTiming
  /** Jobs that this entry sent to the zone dispatcher that it has joined. */
  readonly #sentToZone = new SubmittedJobs()
  /** Jobs that it sent to any holder before. */
  readonly #sent = new SubmittedJobs()
  /** Jobs of zone dispatchers that have ended, which may still run. */
  readonly #others = new SubmittedJobs()
  readonly #clearedBy = new Set<string>()
  #membership: ZoneMembership
  #token: ZoneToken = { term: 0, grant: 0 }
  #holder = ''
  /** Whether the zone dispatcher that it has joined takes jobs. */
  #isServed = false
  #holderHeardAt = -Infinity
  #joinedAt = -Infinity
  #hasLeader = false
  /** When all jobs are over that zone dispatchers took before the one that it has joined. */
  #unsureUntil = -Infinity

  constructor(private readonly options: ZoneEntryOptions) {
    this.#timing = { ...defaultZoneTiming, ...options.timing }
    this.#membership = options.mayHaveRunBefore ? ZoneMembership.Unsure : ZoneMembership.Leader
    if (options.mayHaveRunBefore) {
      this.#unsureUntil = options.startedAt + leaveAfterMs(this.#timing)
    }
  }

  get membership(): ZoneMembership {
    return this.#membership
  }

  /** The zone dispatcher that gets new jobs, or undefined. */
  holder(now: number): string | undefined {
    if (this.#membership !== ZoneMembership.Joined) return undefined
    return this.#isServed && this.#hearsHolder(now) ? this.#holder : undefined
  }

  /** Whether new jobs may go to the leader, if there is one. */
  get mayUseLeader(): boolean {
    return this.#membership === ZoneMembership.Leader
  }

  /** Whether a zone dispatcher that ended may still run this job. */
  isWithOther(now: number, jobId: string): boolean {
    return this.#others.has(now, jobId)
  }

  /** A job is about to be sent to a holder. */
  noteSent(now: number, jobId: string, deadlineAt: number): void {
    const { longestDeadlineMs, overAfterDeadlineMs } = this.#timing
    const endsAt = Math.min(deadlineAt, now + longestDeadlineMs)
    const sent = this.#membership === ZoneMembership.Joined ? this.#sentToZone : this.#sent
    sent.add(now, jobId, endsAt + overAfterDeadlineMs)
  }

  onLeader(hasLeader: boolean): void {
    this.#hasLeader = hasLeader
  }

  /** Handles an offer; returns the answer, if there is one. */
  onOffer(now: number, offer: ZoneOffer): ZoneJoin | undefined {
    switch (offer.phase) {
      case ZonePhase.Idle:
        if (offer.isCertain) this.#clear(now, offer.holder)
        return undefined
      case ZonePhase.Ending:
        this.#onEnding(now, offer)
        return undefined
      case ZonePhase.Forming:
      case ZonePhase.Serving:
        return this.#onServing(now, offer)
    }
  }

  tick(now: number): void {
    switch (this.#membership) {
      case ZoneMembership.Leader:
        return
      case ZoneMembership.Unsure:
        if (now >= this.#unsureUntil) this.#returnToLeader(now)
        return
      case ZoneMembership.Joined:
        if (now - this.#joinedAt >= leaveAfterMs(this.#timing)) this.#returnToLeader(now)
    }
  }

  #hearsHolder(now: number): boolean {
    return now - this.#holderHeardAt < this.#timing.offerTimeoutMs
  }

  /** One of the zone's dispatching instances has nothing that this entry would have to know. */
  #clear(now: number, holder: string): void {
    this.#clearedBy.add(holder)
    if (this.#membership !== ZoneMembership.Unsure) return
    if (this.options.holders.every((one) => this.#clearedBy.has(one))) {
      this.#returnToLeader(now)
    }
  }

  #onEnding(now: number, { holder, token, hasServed, isCertain, open }: ZoneOffer): void {
    this.#others.addAll(now, open)
    if (isCertain) this.#clear(now, holder)
    const isOwn = holder === this.#holder && !isHigher(this.#token, token)
    if (this.#membership !== ZoneMembership.Joined || !isOwn) return
    // Without all lists, it doesn't know the jobs of the one that this entry had joined before.
    if (hasServed || now >= this.#unsureUntil) this.#returnToLeader(now)
    else this.#becomeUnsure(now)
  }

  #onServing(now: number, offer: ZoneOffer): ZoneJoin | undefined {
    this.#clearedBy.delete(offer.holder)
    if (this.#mayJoin(now, offer)) this.#join(now, offer)
    const { holder, token, sentAt, heard } = offer
    const { name, startedAt, mayHaveRunBefore } = this.options
    const certainAt = mayHaveRunBefore ? startedAt + jobHorizonMs(this.#timing) : now
    const isJoined =
      this.#membership === ZoneMembership.Joined &&
      holder === this.#holder &&
      !isHigher(token, this.#token)
    if (isJoined) {
      this.#holderHeardAt = now
      this.#joinedAt = now
      this.#isServed = offer.phase === ZonePhase.Serving
    }
    return {
      entry: name,
      token: this.#token,
      isJoined,
      hasLeader: this.#membership === ZoneMembership.Leader && this.#hasLeader,
      offerSentAt: sentAt,
      uncertainForMs: Math.max(0, certainAt - now),
      submitted: isJoined && !heard.includes(name) ? this.#listOf(now) : undefined,
    }
  }

  /**
   * What this entry sent itself, and what it knows of zone dispatchers before. A zone dispatcher
   * that has restarted under the same name and token no longer knows what it was sent.
   */
  #listOf(now: number): ZoneJoin['submitted'] {
    return [...this.#sent.list(now), ...this.#sentToZone.list(now), ...this.#others.list(now)]
  }

  /** An entry leaves neither a leader nor a zone dispatcher that it hears. */
  #mayJoin(now: number, { holder, token }: ZoneOffer): boolean {
    if (!isHigher(token, this.#token)) return false
    if (this.#membership === ZoneMembership.Leader) return !this.#hasLeader
    if (this.#membership === ZoneMembership.Unsure || holder === this.#holder) return true
    return !this.#hearsHolder(now)
  }

  #join(now: number, { holder, token }: ZoneOffer): void {
    const isFromOther = this.#membership === ZoneMembership.Joined
    if (isFromOther) this.#unsureUntil = this.#joinedAt + leaveAfterMs(this.#timing)
    if (this.#membership === ZoneMembership.Leader) this.#unsureUntil = -Infinity
    this.#forgetHolder(now)
    this.#membership = ZoneMembership.Joined
    this.#holder = holder
    this.#token = token
    this.#holderHeardAt = now
  }

  #returnToLeader(now: number): void {
    this.#membership = ZoneMembership.Leader
    this.#forgetHolder(now)
    this.#holder = ''
  }

  #becomeUnsure(now: number): void {
    this.#membership = ZoneMembership.Unsure
    this.#clearedBy.clear()
    this.#forgetHolder(now)
    this.#holder = ''
  }

  /** From now on, the zone dispatcher that it had joined is a holder like any other. */
  #forgetHolder(now: number): void {
    this.#sent.addAll(now, this.#sentToZone.list(now))
    this.#sentToZone.clear()
    this.#isServed = false
  }
}
