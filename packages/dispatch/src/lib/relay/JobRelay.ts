import {
  envelope,
  JobVerdict,
  makeJobOutcome,
  makeSubmitJob,
  wrapMessage,
} from '@cherryhitch/protocol'
import type { Envelope, JobOutcome, JobQuestionKind, SteppedJob } from '@cherryhitch/protocol'
import { StateMachine } from '@cherryhitch/runtime'

/** Times of a relay, in milliseconds. @public */
export interface RelayTiming {
  /**
   * How long after the loss of a leader requests that were not sent to any leader wait for the next
   * one. Then they are refused as not run. A planned handover takes about 30 ms. An election takes
   * 300 ms or more, longer than the shortest objectives of callers, so it isn't waited for.
   */
  readonly leaderlessTimeoutMs: number
  /** Minimum wait of a request for a leader: the notification of a new one may be in transit. */
  readonly minLeaderWaitMs: number
  /**
   * How long after the loss of a leader requests that were sent to one wait for the next one. Then
   * they end as unknown.
   */
  readonly lostLeaderTimeoutMs: number
  /** Part of a caller's deadline that is reserved for the transit of the answer. */
  readonly answerMarginMs: number
  /** Retry delay sent to refused callers: an election is over by then. */
  readonly retryAfterMs: number
  /**
   * How long jobs that ended with an unknown outcome are kept for reports to new leaders. It covers
   * the time until a new leader is found and has queried all endpoints.
   */
  readonly unansweredRetentionMs: number
  /** A leader that lasts this long has determined the outcome of the jobs reported to it. */
  readonly takeoverMs: number
}

/** @public */
export const defaultRelayTiming: RelayTiming = {
  leaderlessTimeoutMs: 120,
  minLeaderWaitMs: 10,
  lostLeaderTimeoutMs: 700,
  answerMarginMs: 40,
  retryAfterMs: 1_000,
  unansweredRetentionMs: 5_000,
  takeoverMs: 2_000,
}

/** @public */
export enum RelayEventKind {
  Submit = 'submit',
  Ask = 'ask',
  Abandon = 'abandon',
  Outcome = 'outcome',
  Leader = 'leader',
  /** The leader is lost, and the next one can't be found: no majority of voters is reachable. */
  QuorumUnreachable = 'no_leader_in_reach',
}

interface CallerRequest {
  readonly requestId: string
  readonly host: string
  readonly path: string
  /** When the request arrived. */
  readonly receivedAt: number
  /** When the caller stops waiting. */
  readonly deadlineAt: number
}

/** @public */
export type RelayEvent =
  | ({ readonly kind: RelayEventKind.Submit; readonly spec: SteppedJob } & CallerRequest)
  | ({ readonly kind: RelayEventKind.Ask; readonly question: JobQuestionKind } & CallerRequest)
  | { readonly kind: RelayEventKind.Abandon; readonly requestId: string }
  | { readonly kind: RelayEventKind.Outcome; readonly from: string; readonly outcome: JobOutcome }
  /**
   * `leader` is empty while no leader is known. With `isZone` it names a zone dispatcher, which
   * gets only jobs that were sent to nobody else.
   */
  | {
      readonly kind: RelayEventKind.Leader
      readonly leader: string
      readonly term: number
      readonly isZone?: boolean
    }
  | { readonly kind: RelayEventKind.QuorumUnreachable }

/** @public */
export enum RelayActionKind {
  Send = 'send',
  Answer = 'answer',
}

/** @public */
export type RelayAction =
  | { readonly kind: RelayActionKind.Send; readonly to: string; readonly envelope: Envelope }
  | {
      readonly kind: RelayActionKind.Answer
      readonly outcome: JobOutcome
      /** Number of leaders that may have accepted the request. */
      readonly attempts: number
    }

type Submit = Extract<RelayEvent, { kind: RelayEventKind.Submit }>
type LeaderNews = Extract<RelayEvent, { kind: RelayEventKind.Leader }>
type Ask = Extract<RelayEvent, { kind: RelayEventKind.Ask }>

interface OpenRequest {
  readonly event: Submit | Ask
  /** Leader and term that the request was last sent to; the leader is empty before that. */
  sentTo: string
  sentTerm: number
  /** Number of leaders that may have accepted the request. */
  attempts: number
  /** Whether it was last sent to a zone dispatcher. */
  isWithZone: boolean
  /**
   * The leader was lost after the request was sent to it. An answer under the leader's name may
   * come from a later process of that instance.
   */
  isLeaderLost: boolean
  /** Since when the request has waited for a leader. */
  waitingSince: number
}

interface UnansweredJob {
  readonly endedAt: number
  /** When the job was reported to the present leader. */
  reportedAt: number | undefined
  /** How often the job ended with an unknown outcome. */
  readonly times: number
}

/**
 * Relays callers' requests to the leader, and its answers back. When the leader changes, open
 * requests are sent to the next one, which determines what the earlier one started.
 *
 * A job that was sent to a lost leader may have run, so it never ends as refused.
 *
 * @public
 */
export class JobRelay extends StateMachine<RelayEvent, RelayAction> {
  readonly #timing: RelayTiming
  readonly #open = new Map<string, OpenRequest>()
  /** Jobs that a leader had and whose outcome is unknown here, in the order of their end. */
  readonly #unanswered = new Map<string, UnansweredJob>()
  #leader = ''
  #term = 0
  #isZone = false
  #leaderLostAt = -Infinity
  /** When the next open request must be checked; may be too early after requests have ended. */
  #dueAt = Infinity
  #actions: RelayAction[] = []

  constructor(timing: Partial<RelayTiming> = {}) {
    super()
    this.#timing = { ...defaultRelayTiming, ...timing }
  }

  get openRequests(): number {
    return this.#open.size
  }

  get hasLeader(): boolean {
    return this.#leader !== ''
  }

  override step(now: number, event: RelayEvent): readonly RelayAction[] {
    switch (event.kind) {
      case RelayEventKind.Submit:
      case RelayEventKind.Ask:
        this.#accept(now, event)
        break
      case RelayEventKind.Abandon:
        this.#abandon(now, event.requestId)
        break
      case RelayEventKind.Outcome:
        this.#onOutcome(now, event.from, event.outcome)
        break
      case RelayEventKind.Leader:
        this.#onLeader(now, event)
        break
      case RelayEventKind.QuorumUnreachable:
        this.#endAllLeaderless(now)
        break
    }
    return this.#takeActions()
  }

  override tick(now: number): readonly RelayAction[] {
    for (const request of this.#open.values()) this.#checkRequest(now, request)
    this.#dueAt = Infinity
    for (const request of this.#open.values()) this.#scheduleCheck(request)
    return this.#takeActions()
  }

  override get tickDueAt(): number {
    return this.#dueAt
  }

  /** A request sent to the present leader is checked at its deadline, others at the next tick. */
  #scheduleCheck({ event, sentTo }: OpenRequest): void {
    const isWithLeader = sentTo !== '' && this.#leader !== ''
    const dueAt = isWithLeader ? event.deadlineAt - this.#timing.answerMarginMs : -Infinity
    this.#dueAt = Math.min(this.#dueAt, dueAt)
  }

  #takeActions(): readonly RelayAction[] {
    const actions = this.#actions
    this.#actions = []
    return actions
  }

  #accept(now: number, event: Submit | Ask): void {
    const request = {
      event,
      sentTo: '',
      sentTerm: 0,
      attempts: 0,
      isWithZone: false,
      isLeaderLost: false,
      waitingSince: now,
    }
    this.#open.set(event.requestId, request)
    if (this.#leader !== '') this.#send(now, request)
    this.#scheduleCheck(request)
  }

  #send(now: number, request: OpenRequest): void {
    const { event, attempts } = request
    const { requestId, host, path, receivedAt, deadlineAt } = event
    request.sentTo = this.#leader
    request.sentTerm = this.#term
    request.isLeaderLost = false
    request.isWithZone = this.#isZone
    request.attempts++
    const remainingMs = deadlineAt - now
    const message =
      event.kind === RelayEventKind.Ask
        ? envelope({
            case: 'askJob',
            value: { requestId, kind: event.question, host, path, remainingMs },
          })
        : wrapMessage({
            case: 'submitJob',
            value: makeSubmitJob({
              requestId,
              host,
              path,
              spec: event.spec,
              remainingMs,
              waitedMs: now - receivedAt,
              earlierAttempts: attempts,
            }),
          })
    this.#actions.push({ kind: RelayActionKind.Send, to: this.#leader, envelope: message })
  }

  #onLeader(now: number, { leader, term, isZone = false }: LeaderNews): void {
    if (leader === '' && this.#leader !== '') this.#leaderLostAt = now
    this.#expireUnanswered(now)
    for (const job of this.#unanswered.values()) job.reportedAt = leader === '' ? undefined : now
    this.#leader = leader
    this.#term = term
    if (leader !== '') this.#isZone = isZone
    if (leader === '') {
      for (const request of this.#open.values()) request.isLeaderLost = true
      if (this.#open.size > 0) this.#dueAt = -Infinity
      return
    }
    if (!isZone) this.#reportUnanswered()
    for (const request of this.#open.values()) {
      if (request.sentTo === leader && request.sentTerm === term) continue
      if (this.#maySend(request)) this.#send(now, request)
    }
  }

  /** What a leader may have isn't sent to a zone dispatcher, nor the other way round. */
  #maySend({ attempts, isWithZone }: OpenRequest): boolean {
    return attempts === 0 || !(this.#isZone || isWithZone)
  }

  /**
   * Reports the jobs with an unknown outcome to the new leader. Their callers may submit them again
   * through another instance, and an earlier leader may have started them.
   */
  #reportUnanswered(): void {
    if (this.#unanswered.size === 0) return
    const jobs = [...this.#unanswered].map(([jobId, { times }]) => ({ jobId, times }))
    const message = envelope({ case: 'unansweredJobs', value: { jobs } })
    this.#actions.push({ kind: RelayActionKind.Send, to: this.#leader, envelope: message })
  }

  #recordUnanswered(now: number, { event, attempts }: OpenRequest): void {
    if (event.kind !== RelayEventKind.Submit || attempts === 0) return
    this.#expireUnanswered(now)
    const { jobId } = event.spec
    const times = (this.#unanswered.get(jobId)?.times ?? 0) + 1
    this.#unanswered.delete(jobId)
    this.#unanswered.set(jobId, { endedAt: now, reportedAt: undefined, times })
  }

  #expireUnanswered(now: number): void {
    const { unansweredRetentionMs, takeoverMs } = this.#timing
    for (const [job, { endedAt, reportedAt = Infinity }] of this.#unanswered) {
      const isOver = now - endedAt >= unansweredRetentionMs || now - reportedAt >= takeoverMs
      if (isOver) this.#unanswered.delete(job)
    }
  }

  #onOutcome(now: number, from: string, outcome: JobOutcome): void {
    const request = this.#open.get(outcome.requestId)
    if (request === undefined) return
    switch (outcome.verdict) {
      case JobVerdict.NOT_LEADER:
      case JobVerdict.LEADER_LOST:
        if (request.sentTo !== from) return
        // The link delivers a request to one process only. If the leader was not lost in between,
        // this answer is from that process, which has not accepted the request.
        if (outcome.verdict === JobVerdict.NOT_LEADER && !request.isLeaderLost) request.attempts--
        request.sentTo = ''
        request.waitingSince = now
        this.#scheduleCheck(request)
        return
      case JobVerdict.REFUSED:
      case JobVerdict.NO_ROUTE:
        if (!this.#mayHaveRun(request)) this.#finish(request, outcome)
        else this.#finishUnknown(now, request, toUnknownOutcome(outcome))
        return
      case JobVerdict.UNKNOWN:
        this.#finishUnknown(now, request, outcome)
        return
      default:
        this.#finish(request, outcome)
    }
  }

  /** True if a leader before the last one may have started the job. */
  #mayHaveRun({ event, attempts }: OpenRequest): boolean {
    return event.kind === RelayEventKind.Submit && attempts > 1
  }

  /** Ends all open requests, because no leader can answer them. */
  #endAllLeaderless(now: number): void {
    if (this.#leader !== '') return
    for (const request of this.#open.values()) this.#endLeaderless(now, request)
  }

  /** Refuses a request that no leader had. Others may have run, so they end as unknown. */
  #endLeaderless(now: number, request: OpenRequest): void {
    const { requestId } = request.event
    const { retryAfterMs } = this.#timing
    const isNotRun = request.attempts === 0
    const verdict = isNotRun ? JobVerdict.REFUSED : JobVerdict.UNKNOWN
    const reason = isNotRun ? 'no instance leads at the moment' : 'its leader was lost'
    const more = isNotRun ? { retryAfterMs } : {}
    const outcome = makeJobOutcome({ requestId, verdict, reason, ...more })
    if (isNotRun) this.#finish(request, outcome)
    else this.#finishUnknown(now, request, outcome)
  }

  #checkRequest(now: number, request: OpenRequest): void {
    const { event, sentTo, attempts, waitingSince } = request
    const { requestId, deadlineAt } = event
    const mayBeSent = sentTo === '' && this.#leader !== '' && this.#maySend(request)
    if (mayBeSent && now > waitingSince) this.#send(now, request)
    const isOver = now >= deadlineAt - this.#timing.answerMarginMs
    if (this.#hasLeaderWaitExpired(now, request) || (isOver && attempts === 0)) {
      this.#endLeaderless(now, request)
    } else if (isOver) {
      const reason = 'no answer came before the deadline'
      const verdict = JobVerdict.UNKNOWN
      this.#finishUnknown(now, request, makeJobOutcome({ requestId, verdict, reason }))
    }
  }

  /** True once the request should not wait any longer for the next leader. */
  #hasLeaderWaitExpired(now: number, { attempts, waitingSince }: OpenRequest): boolean {
    if (this.#leader !== '') return false
    const { leaderlessTimeoutMs, minLeaderWaitMs, lostLeaderTimeoutMs } = this.#timing
    if (attempts > 0) return now - this.#leaderLostAt >= lostLeaderTimeoutMs
    return now - waitingSince >= minLeaderWaitMs && now - this.#leaderLostAt >= leaderlessTimeoutMs
  }

  #abandon(now: number, requestId: string): void {
    const request = this.#open.get(requestId)
    if (request === undefined) return
    this.#open.delete(requestId)
    this.#recordUnanswered(now, request)
    if (request.sentTo === '') return
    const message = envelope({ case: 'abandonJob', value: { requestId } })
    this.#actions.push({ kind: RelayActionKind.Send, to: request.sentTo, envelope: message })
  }

  /**
   * Ends a request as unknown, and keeps its job for a report to the next leader: the present one
   * may be lost before it has determined the outcome.
   */
  #finishUnknown(now: number, request: OpenRequest, outcome: JobOutcome): void {
    this.#recordUnanswered(now, request)
    this.#finish(request, outcome)
  }

  #finish(request: OpenRequest, outcome: JobOutcome): void {
    this.#open.delete(request.event.requestId)
    const { attempts } = request
    this.#actions.push({ kind: RelayActionKind.Answer, outcome, attempts })
  }
}

function toUnknownOutcome({ requestId, reason, term, routingVersion }: JobOutcome): JobOutcome {
  const verdict = JobVerdict.UNKNOWN
  return makeJobOutcome({ requestId, verdict, reason, term, routingVersion })
}
