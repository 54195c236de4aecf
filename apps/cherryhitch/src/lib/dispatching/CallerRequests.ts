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
  private requestCount = 0

  constructor(private readonly options: CallerRequestsOptions) {
    super()
  }

  get size(): number {
    return this.open.size
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
      this.open.set(requestId, { context, done })
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
    const { requestId, verdict, reason, term, retryAfterMs } = outcome
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
      attempts,
      ...(retryAfterMs > 0 && { retryAfterMs }),
    })
  }
}
