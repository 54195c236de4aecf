import { SubmittedJobs } from './SubmittedJobs'
import { ZonePhase } from './ZoneMessages'
import type { ZoneJoin, ZoneOffer } from './ZoneMessages'
import { isHigher, nextZoneGrant } from './ZoneToken'
import type { ZoneToken } from './ZoneToken'
import { defaultZoneTiming, jobHorizonMs } from './ZoneTiming'
import type { ZoneTiming } from './ZoneTiming'

/** Decision on a job that an entry of the zone hands in. @internal */
export enum ZoneDecision {
  Take = 'take',
  /** Not taken: whether another holder has a job with this id isn't asked. */
  Refuse = 'refuse',
  /** Another holder may have this job. */
  MayRunElsewhere = 'may_run_elsewhere',
}

/** What the instance has to do after a step. @internal */
export enum ZoneChange {
  /** Begin to dispatch in the zone, under the token. */
  Begin = 'begin',
  /** Stop to dispatch in the zone: all jobs have ended, or are over. */
  Stop = 'stop',
}

/** @internal */
export interface ZoneHolderOptions {
  readonly name: string
  /** Number of this instance among the dispatching instances of its zone. */
  readonly rank: number
  /** All entries of the zone. */
  readonly entries: readonly string[]
  readonly startedAt: number
  /** False only for the first start of the whole system. */
  readonly mayHaveRunBefore: boolean
  readonly timing?: Partial<ZoneTiming>
}

/** Counters of serving a zone alone, which only increase. @internal */
export interface ZoneCounters {
  zone_rounds: number
  zone_jobs_taken: number
  /** Refused because an entry of the zone had not joined, or not lately. */
  zone_refused_unjoined: number
  /** Ended as unknown because another holder may have the job. */
  zone_may_run_elsewhere: number
}

/** A job that an entry hands in. @internal */
export interface ZoneRequest {
  readonly entry: string
  readonly requestId: string
  readonly jobId: string
  readonly deadlineAt: number
}

type AbandonedRequest = Pick<ZoneRequest, 'entry' | 'requestId'>

interface JoinedEntry {
  /** `sentAt` of the offer that its last join answers. */
  readonly offerSentAt: number
  /** When all jobs are over that an earlier process of the entry may have sent. */
  readonly certainAt: number
}

/**
 * The part of a dispatching instance in serving its zone while it is cut off: decides when it
 * begins and ends, and which jobs it can be sure that nobody else has.
 *
 * @internal
 */
export class ZoneHolder {
  readonly counters: ZoneCounters = {
    zone_rounds: 0,
    zone_jobs_taken: 0,
    zone_refused_unjoined: 0,
    zone_may_run_elsewhere: 0,
  }
  readonly #timing: ZoneTiming
  readonly #joined = new Map<string, JoinedEntry>()
  /** Jobs that other holders may have. */
  readonly #others = new SubmittedJobs()
  /** Jobs that this instance took. */
  readonly #taken = new SubmittedJobs()
  /** Requests that may still be open, by id. */
  readonly #requests = new Map<string, { readonly entry: string; readonly endsAt: number }>()
  #phase = ZonePhase.Idle
  #token: ZoneToken = { term: 0, grant: 0 }
  /** The highest token of which this instance has heard. */
  #highest: ZoneToken = { term: 0, grant: 0 }
  #leaderHeardAt: number
  /** When another instance of the zone was last heard that has precedence. */
  #otherHeardAt = -Infinity
  #pausedUntil = -Infinity
  #endingSince = -Infinity
  #offerDueAt = -Infinity
  #isDispatching = false
  #hasServed = false

  constructor(private readonly options: ZoneHolderOptions) {
    this.#timing = { ...defaultZoneTiming, ...options.timing }
    this.#leaderHeardAt = options.startedAt
  }

  get phase(): ZonePhase {
    return this.#phase
  }

  get token(): ZoneToken {
    return this.#token
  }

  /** This instance leads, or follows a leader that it hears. */
  onLeader(now: number, term: number): void {
    this.#leaderHeardAt = now
    this.#noteToken({ term, grant: 0 })
    const isAlone = this.#phase === ZonePhase.Forming || this.#phase === ZonePhase.Serving
    if (isAlone) this.#end(now)
  }

  /** Another dispatching instance of the zone sent an offer to this one. */
  onOtherOffer(now: number, { token, phase }: ZoneOffer, rank: number): void {
    this.#noteToken(token)
    if (rank > this.options.rank && phase !== ZonePhase.Serving) return
    this.#otherHeardAt = now
    if (this.#phase === ZonePhase.Forming) this.#end(now)
  }

  onJoin(now: number, join: ZoneJoin): void {
    this.#noteToken(join.token)
    if (join.hasLeader && this.#phase === ZonePhase.Forming) {
      this.#pausedUntil = now + this.#timing.withdrawnPauseMs
      this.#end(now)
    }
    const isAlone = this.#phase === ZonePhase.Forming || this.#phase === ZonePhase.Serving
    const isThis = !isHigher(join.token, this.#token) && !isHigher(this.#token, join.token)
    if (!isAlone || !join.isJoined || !isThis) return
    const known = this.#joined.get(join.entry)
    // Until its list has come, the entry hasn't joined.
    if (known === undefined && join.submitted === undefined) return
    this.#others.addAll(now, join.submitted ?? [])
    const certainAt = known?.certainAt ?? now + join.uncertainForMs
    const offerSentAt = Math.max(known?.offerSentAt ?? -Infinity, join.offerSentAt)
    this.#joined.set(join.entry, { offerSentAt, certainAt })
  }

  /** Decides on a job that an entry hands in. */
  decide(now: number, { entry, requestId, jobId, deadlineAt }: ZoneRequest): ZoneDecision {
    if (this.#phase !== ZonePhase.Serving || !this.#haveAllJoined(now)) {
      this.counters.zone_refused_unjoined++
      return ZoneDecision.Refuse
    }
    if (this.#others.has(now, jobId)) {
      this.counters.zone_may_run_elsewhere++
      return ZoneDecision.MayRunElsewhere
    }
    this.counters.zone_jobs_taken++
    const { longestDeadlineMs, overAfterDeadlineMs } = this.#timing
    const endsAt = Math.min(deadlineAt, now + longestDeadlineMs)
    this.#taken.add(now, jobId, endsAt + overAfterDeadlineMs)
    this.#requests.set(requestId, { entry, endsAt })
    return ZoneDecision.Take
  }

  /** Takes the requests of entries that are lost: nobody waits for them any more. */
  takeAbandoned(now: number): readonly AbandonedRequest[] {
    const abandoned: AbandonedRequest[] = []
    for (const [requestId, { entry, endsAt }] of this.#requests) {
      const heardAt = this.#joined.get(entry)?.offerSentAt ?? -Infinity
      const isLost = now - heardAt >= this.#timing.entryLostMs
      const isAbandoned = this.#phase === ZonePhase.Serving && isLost
      if (isAbandoned) abandoned.push({ entry, requestId })
      if (isAbandoned || now >= endsAt) this.#requests.delete(requestId)
    }
    return abandoned
  }

  /** @param openJobs - number of jobs that the dispatcher of this instance has */
  tick(now: number, leads: boolean, openJobs: number): ZoneChange | undefined {
    switch (this.#phase) {
      case ZonePhase.Idle:
        if (!leads && this.#mayOffer(now)) this.#form(now)
        return undefined
      case ZonePhase.Forming:
        // An entry has joined a higher token before, and joins no lower one.
        if (isHigher(this.#highest, this.#token)) this.#form(now)
        if (!this.#haveAllJoined(now)) return undefined
        this.#phase = ZonePhase.Serving
        this.#isDispatching = true
        this.#hasServed = true
        this.counters.zone_rounds++
        return ZoneChange.Begin
      case ZonePhase.Serving:
        return undefined
      case ZonePhase.Ending:
        if (!leads && !this.#isDispatching && this.#mayOffer(now)) this.#form(now)
        else return this.#finish(now, openJobs)
        return undefined
    }
  }

  /** The offer to send to all entries and dispatching instances of the zone, when one is due. */
  takeOffer(now: number): ZoneOffer | undefined {
    if (now < this.#offerDueAt) return undefined
    this.#offerDueAt = now + this.#timing.offerIntervalMs
    const isEnding = this.#phase === ZonePhase.Ending
    return {
      holder: this.options.name,
      token: this.#token,
      phase: this.#phase,
      sentAt: now,
      hasServed: this.#hasServed,
      // To serve, it has got the lists of all entries.
      isCertain: this.#hasServed || !this.#mayHaveServedBefore(now),
      heard: [...this.#joined.keys()],
      open: isEnding ? [...this.#taken.list(now), ...this.#others.list(now)] : [],
    }
  }

  #mayHaveServedBefore(now: number): boolean {
    const { startedAt, mayHaveRunBefore } = this.options
    return mayHaveRunBefore && now - startedAt < jobHorizonMs(this.#timing)
  }

  #mayOffer(now: number): boolean {
    const { quietMs, rankDelayMs, offerTimeoutMs } = this.#timing
    const waitMs = quietMs + this.options.rank * rankDelayMs
    const hearsOther = now - this.#otherHeardAt < offerTimeoutMs
    return now - this.#leaderHeardAt >= waitMs && now >= this.#pausedUntil && !hearsOther
  }

  #form(now: number): void {
    const { term } = this.#highest
    const grant = nextZoneGrant(this.#highest.grant, this.options.rank)
    if (grant === undefined) {
      if (this.#phase === ZonePhase.Forming) this.#end(now)
      return
    }
    this.#token = { term, grant }
    this.#highest = this.#token
    this.#joined.clear()
    this.#others.addAll(now, this.#taken.list(now))
    this.#taken.clear()
    this.#phase = ZonePhase.Forming
    this.#hasServed = false
    this.#offerDueAt = now
  }

  #haveAllJoined(now: number): boolean {
    return this.options.entries.every((entry) => {
      const joined = this.#joined.get(entry)
      return this.#isCurrent(now, joined) && now >= (joined?.certainAt ?? Infinity)
    })
  }

  #isCurrent(now: number, joined: JoinedEntry | undefined): boolean {
    return now - (joined?.offerSentAt ?? -Infinity) < this.#timing.joinLeaseMs
  }

  #end(now: number): void {
    this.#phase = ZonePhase.Ending
    this.#endingSince = now
    this.#offerDueAt = now
  }

  /** Stops dispatching once all jobs have ended; the list of them is told until they are over. */
  #finish(now: number, openJobs: number): ZoneChange | undefined {
    const isOver = now - this.#endingSince >= jobHorizonMs(this.#timing)
    if (isOver) this.#phase = ZonePhase.Idle
    if (!this.#isDispatching || (openJobs > 0 && !isOver)) return undefined
    this.#isDispatching = false
    return ZoneChange.Stop
  }

  #noteToken(token: ZoneToken): void {
    if (isHigher(token, this.#highest)) this.#highest = token
  }
}
