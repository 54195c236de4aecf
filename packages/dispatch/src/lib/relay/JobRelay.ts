import {
  envelope,
  JobVerdict,
  makeJobOutcome,
  makeSubmitJob,
  wrapMessage,
} from '@cherryhitch/protocol'
import type { Envelope, JobOutcome, JobQuestionKind, SteppedJob } from '@cherryhitch/protocol'
import { Machine } from '@cherryhitch/runtime'

/** Times of a relay, in milliseconds. @public */
export interface RelayTiming {
  /**
   * How long requests that no leader has taken wait for the next one after the last was lost; then
   * they are refused as not run. A planned hand-over takes some 30 ms; an election takes 300 ms
   * and more, longer than the shortest objectives of callers.
   */
  readonly leaderlessMs: number
  /** A request waits this long at least: the news of a leader may be on its way. */
  readonly shortWaitMs: number
  /** How long a request that a lost leader had waits for the next one; then it ends as unknown. */
  readonly lostLeaderMs: number
  /** What is kept back of a caller's deadline for the way of the answer. */
  readonly answerWayMs: number
  /** When a refused caller may come back: an election is over by then. */
  readonly retryAfterMs: number
  /**
   * How long a new leader is told of jobs that ended here while it was not known what became of
   * them: until it has been found, and has asked all endpoints.
   */
  readonly unansweredMs: number
  /** A leader that lasts so long has found out what became of the jobs that it was told of. */
  readonly takeOverMs: number
}

/** @public */
export const defaultRelayTiming: RelayTiming = {
  leaderlessMs: 120,
  shortWaitMs: 10,
  lostLeaderMs: 700,
  answerWayMs: 40,
  retryAfterMs: 1_000,
  unansweredMs: 5_000,
  takeOverMs: 2_000,
}

/** @public */
export enum RelayEventKind {
  Submit = 'submit',
  Ask = 'ask',
  Abandon = 'abandon',
  Outcome = 'outcome',
  Leader = 'leader',
  /** The leader is lost, and the next one can't be found from here for now. */
  NoLeaderInReach = 'no_leader_in_reach',
}

interface CallerRequest {
  readonly requestId: string
  readonly host: string
  readonly path: string
  /** When the request arrived. */
  readonly receivedAt: number
  /** When its caller stops waiting. */
  readonly deadlineAt: number
}

/** @public */
export type RelayEvent =
  | ({ readonly kind: RelayEventKind.Submit; readonly spec: SteppedJob } & CallerRequest)
  | ({ readonly kind: RelayEventKind.Ask; readonly question: JobQuestionKind } & CallerRequest)
  | { readonly kind: RelayEventKind.Abandon; readonly requestId: string }
  | { readonly kind: RelayEventKind.Outcome; readonly from: string; readonly outcome: JobOutcome }
  /** Empty while no leader is known. */
  | { readonly kind: RelayEventKind.Leader; readonly leader: string; readonly term: number }
  | { readonly kind: RelayEventKind.NoLeaderInReach }

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
      /** Leaders that may have taken the request. */
      readonly attempts: number
    }

type Submit = Extract<RelayEvent, { kind: RelayEventKind.Submit }>
type Ask = Extract<RelayEvent, { kind: RelayEventKind.Ask }>

interface Relayed {
  readonly event: Submit | Ask
  /** Leader and term that it was last sent to; empty before that. */
  sentTo: string
  sentTerm: number
  /** Leaders that may have taken it. */
  attempts: number
  /** Its leader was lost after it was sent: an answer under its name may be that of a later process. */
  isLeaderLost: boolean
  /** Since when it waits for a leader. */
  waitsSince: number
}

interface UnansweredJob {
  readonly endedAt: number
  /** When the present leader was told of it. */
  toldAt: number | undefined
  /** How often it ended so. */
  readonly times: number
}

/**
 * Brings callers' requests to the leader and its answers back. When the leader changes, open
 * requests go to the next one, which finds out what the earlier one started.
 *
 * What was sent to a leader that was lost may have run, so it never ends as refused.
 *
 * @public
 */
export class JobRelay extends Machine<RelayEvent, RelayAction> {
  readonly #timing: RelayTiming
  readonly #open = new Map<string, Relayed>()
  /** Jobs that a leader had and of which nobody here knows what ran, the first to end first. */
  readonly #unanswered = new Map<string, UnansweredJob>()
  #leader = ''
  #term = 0
  #leaderLostAt = -Infinity
  /** When the next open request has to be looked at; earlier than needed after some have ended. */
  #dueAt = Infinity
  #out: RelayAction[] = []

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
        this.#take(now, event)
        break
      case RelayEventKind.Abandon:
        this.#abandon(now, event.requestId)
        break
      case RelayEventKind.Outcome:
        this.#onOutcome(now, event.from, event.outcome)
        break
      case RelayEventKind.Leader:
        this.#onLeader(now, event.leader, event.term)
        break
      case RelayEventKind.NoLeaderInReach:
        this.#endOpen(now)
        break
    }
    return this.#takeActions()
  }

  override tick(now: number): readonly RelayAction[] {
    for (const relayed of this.#open.values()) this.#tickOne(now, relayed)
    this.#dueAt = Infinity
    for (const relayed of this.#open.values()) this.#noteDue(relayed)
    return this.#takeActions()
  }

  override get tickDueAt(): number {
    return this.#dueAt
  }

  /** A request that is with a leader waits for its deadline, another one for the news of a leader. */
  #noteDue({ event, sentTo }: Relayed): void {
    const isWithLeader = sentTo !== '' && this.#leader !== ''
    const dueAt = isWithLeader ? event.deadlineAt - this.#timing.answerWayMs : -Infinity
    this.#dueAt = Math.min(this.#dueAt, dueAt)
  }

  #takeActions(): readonly RelayAction[] {
    const actions = this.#out
    this.#out = []
    return actions
  }

  #take(now: number, event: Submit | Ask): void {
    const relayed = {
      event,
      sentTo: '',
      sentTerm: 0,
      attempts: 0,
      isLeaderLost: false,
      waitsSince: now,
    }
    this.#open.set(event.requestId, relayed)
    if (this.#leader !== '') this.#send(now, relayed)
    this.#noteDue(relayed)
  }

  #send(now: number, relayed: Relayed): void {
    const { event, attempts } = relayed
    const { requestId, host, path, receivedAt, deadlineAt } = event
    relayed.sentTo = this.#leader
    relayed.sentTerm = this.#term
    relayed.isLeaderLost = false
    relayed.attempts++
    const message =
      event.kind === RelayEventKind.Ask
        ? envelope({ case: 'askJob', value: { requestId, kind: event.question, host, path } })
        : wrapMessage({
            case: 'submitJob',
            value: makeSubmitJob({
              requestId,
              host,
              path,
              spec: event.spec,
              remainingMs: deadlineAt - now,
              waitedMs: now - receivedAt,
              earlierAttempts: attempts,
            }),
          })
    this.#out.push({ kind: RelayActionKind.Send, to: this.#leader, envelope: message })
  }

  #onLeader(now: number, leader: string, term: number): void {
    if (leader === '' && this.#leader !== '') this.#leaderLostAt = now
    this.#forgetUnanswered(now)
    for (const job of this.#unanswered.values()) job.toldAt = leader === '' ? undefined : now
    this.#leader = leader
    this.#term = term
    if (leader === '') {
      for (const relayed of this.#open.values()) relayed.isLeaderLost = true
      if (this.#open.size > 0) this.#dueAt = -Infinity
      return
    }
    this.#tellUnanswered()
    for (const relayed of this.#open.values()) {
      if (relayed.sentTo === leader && relayed.sentTerm === term) continue
      this.#send(now, relayed)
    }
  }

  /** Their callers may send them again, by another way: an earlier leader may have started them. */
  #tellUnanswered(): void {
    if (this.#unanswered.size === 0) return
    const jobs = [...this.#unanswered].map(([jobId, { times }]) => ({ jobId, times }))
    const message = envelope({ case: 'unansweredJobs', value: { jobs } })
    this.#out.push({ kind: RelayActionKind.Send, to: this.#leader, envelope: message })
  }

  #noteUnanswered(now: number, { event, attempts }: Relayed): void {
    if (event.kind !== RelayEventKind.Submit || attempts === 0) return
    this.#forgetUnanswered(now)
    const { jobId } = event.spec
    const times = (this.#unanswered.get(jobId)?.times ?? 0) + 1
    this.#unanswered.delete(jobId)
    this.#unanswered.set(jobId, { endedAt: now, toldAt: undefined, times })
  }

  #forgetUnanswered(now: number): void {
    const { unansweredMs, takeOverMs } = this.#timing
    for (const [job, { endedAt, toldAt = Infinity }] of this.#unanswered) {
      const isOver = now - endedAt >= unansweredMs || now - toldAt >= takeOverMs
      if (isOver) this.#unanswered.delete(job)
    }
  }

  #onOutcome(now: number, from: string, outcome: JobOutcome): void {
    const relayed = this.#open.get(outcome.requestId)
    if (relayed === undefined) return
    switch (outcome.verdict) {
      case JobVerdict.NOT_LEADER:
      case JobVerdict.LEADER_LOST:
        if (relayed.sentTo !== from) return
        // The link hands a request to one process only, so this one has truly not taken it.
        if (outcome.verdict === JobVerdict.NOT_LEADER && !relayed.isLeaderLost) relayed.attempts--
        relayed.sentTo = ''
        relayed.waitsSince = now
        this.#noteDue(relayed)
        return
      case JobVerdict.REFUSED:
      case JobVerdict.NO_ROUTE:
        if (!this.#mayHaveRun(relayed)) this.#finish(relayed, outcome)
        else this.#finishUnknown(now, relayed, unknown(outcome))
        return
      case JobVerdict.UNKNOWN:
        this.#finishUnknown(now, relayed, outcome)
        return
      default:
        this.#finish(relayed, outcome)
    }
  }

  /** True when another leader than the last one may have started it. */
  #mayHaveRun({ event, attempts }: Relayed): boolean {
    return event.kind === RelayEventKind.Submit && attempts > 1
  }

  /** Nobody is left to answer what is open: callers hear so at once. */
  #endOpen(now: number): void {
    if (this.#leader !== '') return
    for (const relayed of this.#open.values()) this.#endLeaderless(now, relayed)
  }

  /** Refuses what no leader has had; what one had may have run. */
  #endLeaderless(now: number, relayed: Relayed): void {
    const { requestId } = relayed.event
    const { retryAfterMs } = this.#timing
    const isNotRun = relayed.attempts === 0
    const verdict = isNotRun ? JobVerdict.REFUSED : JobVerdict.UNKNOWN
    const reason = isNotRun ? 'no instance leads at the moment' : 'its leader was lost'
    const more = isNotRun ? { retryAfterMs } : {}
    const outcome = makeJobOutcome({ requestId, verdict, reason, ...more })
    if (isNotRun) this.#finish(relayed, outcome)
    else this.#finishUnknown(now, relayed, outcome)
  }

  #tickOne(now: number, relayed: Relayed): void {
    const { event, sentTo, attempts, waitsSince } = relayed
    const { requestId, deadlineAt } = event
    if (sentTo === '' && this.#leader !== '' && now > waitsSince) this.#send(now, relayed)
    const isOver = now >= deadlineAt - this.#timing.answerWayMs
    if (this.#isLeaderless(now, relayed) || (isOver && attempts === 0)) {
      this.#endLeaderless(now, relayed)
    } else if (isOver) {
      const reason = 'no answer came before the deadline'
      const verdict = JobVerdict.UNKNOWN
      this.#finishUnknown(now, relayed, makeJobOutcome({ requestId, verdict, reason }))
    }
  }

  /** True once it isn't worth waiting for the next leader. */
  #isLeaderless(now: number, { attempts, waitsSince }: Relayed): boolean {
    if (this.#leader !== '') return false
    const { leaderlessMs, shortWaitMs, lostLeaderMs } = this.#timing
    if (attempts > 0) return now - this.#leaderLostAt >= lostLeaderMs
    return now - waitsSince >= shortWaitMs && now - this.#leaderLostAt >= leaderlessMs
  }

  #abandon(now: number, requestId: string): void {
    const relayed = this.#open.get(requestId)
    if (relayed === undefined) return
    this.#open.delete(requestId)
    this.#noteUnanswered(now, relayed)
    if (relayed.sentTo === '') return
    const message = envelope({ case: 'abandonJob', value: { requestId } })
    this.#out.push({ kind: RelayActionKind.Send, to: relayed.sentTo, envelope: message })
  }

  /** A leader that is lost now may not have found out what became of the job. */
  #finishUnknown(now: number, relayed: Relayed, outcome: JobOutcome): void {
    this.#noteUnanswered(now, relayed)
    this.#finish(relayed, outcome)
  }

  #finish(relayed: Relayed, outcome: JobOutcome): void {
    this.#open.delete(relayed.event.requestId)
    const { attempts } = relayed
    this.#out.push({ kind: RelayActionKind.Answer, outcome, attempts })
  }
}

function unknown({ requestId, reason, term }: JobOutcome): JobOutcome {
  const verdict = JobVerdict.UNKNOWN
  return makeJobOutcome({ requestId, verdict, reason, term })
}
