import type { RefusedRequest } from '@cherryhitch/http-api'
import { ClientService } from '@cherryhitch/platform'
import type { RequestContext } from '@cherryhitch/platform'
import { RelayEventKind } from '@cherryhitch/dispatch'
import type { RelayEvent } from '@cherryhitch/dispatch'
import { JobVerdict } from '@cherryhitch/protocol'
import type { JobOutcome, JobQuestionKind, SteppedJob } from '@cherryhitch/protocol'
import type { PartLog } from '@cherryhitch/telemetry'
import { Effect } from 'effect'

interface OpenRequest {
  readonly context: RequestContext
  /** Highest routing version of the answers that had come before the request. */
  readonly knownVersion: number
  readonly done: (outcome: JobOutcome) => void
}

/** @internal */
export interface CallerRequestsOptions {
  /**
   * Boot of this process. As part of each request id, it keeps answers to requests of an earlier
   * process from ending requests of this one.
   */
  readonly boot: number
  readonly tell: (event: RelayEvent) => void
  readonly now: () => number
  readonly log: PartLog
  readonly measure: (stage: string, route: string, ms: number) => void
}

/** The requests of callers that are waiting for an answer at this instance. @internal */
export class CallerRequests extends ClientService {
  private readonly open = new Map<string, OpenRequest>()
  private readonly unread = new Map<string, number>()
  private requestCount = 0
  private routingVersion = 0
  private underOlderRouting = 0
  private withoutRoute = 0

  constructor(private readonly options: CallerRequestsOptions) {
    super()
  }

  get size(): number {
    return this.open.size
  }

  /** Counters of answers and refusals, and the highest routing version of an answer so far. */
  get counters(): Readonly<Record<string, number>> {
    return {
      requests_open: this.open.size,
      routingVersion: this.routingVersion,
      answered_without_route: this.withoutRoute,
      answered_under_older_routing: this.underOlderRouting,
      ...Object.fromEntries(this.unread),
    }
  }

  override submit(context: RequestContext, spec: SteppedJob): Effect.Effect<JobOutcome> {
    return this.relay(context, (requestId) => {
      return { kind: RelayEventKind.Submit, requestId, spec, ...context }
    })
  }

  override queryJob(context: RequestContext, question: JobQuestionKind): Effect.Effect<JobOutcome> {
    return this.relay(context, (requestId) => {
      return { kind: RelayEventKind.Ask, requestId, question, ...context }
    })
  }

  override reportRefusal(context: RequestContext, reason: string): void {
    const { host, path } = context
    this.options.log.info('a request was refused unread', { host, path, reason })
  }

  override reportUnread(refused: RefusedRequest): void {
    const key = `refused_unread_${refused.kind}`
    this.unread.set(key, (this.unread.get(key) ?? 0) + 1)
    this.options.log.info('the HTTP interface refused a request', { ...refused })
  }

  /**
   * Delivers an outcome to the caller that waits for it.
   *
   * @param attempts - number of leaders that may have accepted the request
   */
  answer(outcome: JobOutcome, attempts: number): void {
    const request = this.open.get(outcome.requestId)
    if (request === undefined) return
    this.open.delete(outcome.requestId)
    this.recordAnswer(request.context, outcome, attempts)
    this.recordVersion(request, outcome)
    request.done(outcome)
  }

  /** Completes when the outcome arrives; an interruption means that the caller has disconnected. */
  private relay(
    context: RequestContext,
    toEvent: (requestId: string) => RelayEvent,
  ): Effect.Effect<JobOutcome> {
    return Effect.callback((resume) => {
      const requestId = `${this.options.boot}.${++this.requestCount}`
      const done = (outcome: JobOutcome): void => {
        resume(Effect.succeed(outcome))
      }
      this.open.set(requestId, { context, done, knownVersion: this.routingVersion })
      this.options.tell(toEvent(requestId))
      return Effect.sync(() => {
        this.abandon(requestId, context)
      })
    })
  }

  private abandon(requestId: string, { host, path, receivedAt }: RequestContext): void {
    if (!this.open.delete(requestId)) return
    const ms = Math.round(this.options.now() - receivedAt)
    this.options.log.info('a caller left before its answer', { host, path, ms })
    this.options.tell({ kind: RelayEventKind.Abandon, requestId })
  }

  private recordAnswer(context: RequestContext, outcome: JobOutcome, attempts: number): void {
    const { host, path, receivedAt, deadlineAt } = context
    const { requestId, verdict, reason, term, routingVersion, retryAfterMs } = outcome
    const now = this.options.now()
    const ms = Math.round(now - receivedAt)
    this.options.measure('request', JobVerdict[verdict], ms)
    this.options.log.info('a request was answered', {
      requestId,
      host,
      path,
      verdict: JobVerdict[verdict],
      reason,
      ms,
      leftMs: Math.round(deadlineAt - now),
      term,
      routingVersion,
      attempts,
      ...(retryAfterMs > 0 && { retryAfterMs }),
    })
  }

  /** Reports an answer by an older routing than that of an answer from before the request. */
  private recordVersion({ context, knownVersion }: OpenRequest, outcome: JobOutcome): void {
    const { verdict, routingVersion, term, requestId } = outcome
    if (verdict === JobVerdict.NO_ROUTE) this.withoutRoute++
    this.routingVersion = Math.max(this.routingVersion, routingVersion)
    // Outcomes that no leader decided have no version.
    if (routingVersion === 0 || routingVersion >= knownVersion) return
    this.underOlderRouting++
    const { host, path } = context
    this.options.log.warn('a request was answered under an older routing version', {
      requestId,
      host,
      path,
      verdict: JobVerdict[verdict],
      routingVersion,
      knownVersion,
      term,
    })
  }
}
