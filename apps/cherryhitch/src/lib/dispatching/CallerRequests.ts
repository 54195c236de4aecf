import { ClientService } from '@cherryhitch/platform'
import type { ClientPlace } from '@cherryhitch/platform'
import { RelayEventKind } from '@cherryhitch/dispatch'
import type { RelayEvent } from '@cherryhitch/dispatch'
import { JobVerdict } from '@cherryhitch/protocol'
import type { JobOutcome, JobQuestionKind, SteppedJob } from '@cherryhitch/protocol'
import type { PartLog } from '@cherryhitch/telemetry'
import { Effect } from 'effect'

interface OpenRequest {
  readonly place: ClientPlace
  readonly done: (outcome: JobOutcome) => void
}

/** @internal */
export interface CallerRequestsOptions {
  /** Boot of this process: answers to requests of an earlier one must not end those of this one. */
  readonly boot: number
  readonly tell: (event: RelayEvent) => void
  readonly now: () => number
  readonly log: PartLog
  readonly measure: (stage: string, route: string, ms: number) => void
}

/** The requests of callers that wait for their answers at this instance. @internal */
export class CallerRequests extends ClientService {
  private readonly open = new Map<string, OpenRequest>()
  private counted = 0

  constructor(private readonly options: CallerRequestsOptions) {
    super()
  }

  get size(): number {
    return this.open.size
  }

  override submit(place: ClientPlace, spec: SteppedJob): Effect.Effect<JobOutcome> {
    return this.relay(place, (requestId) => {
      return { kind: RelayEventKind.Submit, requestId, spec, ...place }
    })
  }

  override ask(place: ClientPlace, question: JobQuestionKind): Effect.Effect<JobOutcome> {
    return this.relay(place, (requestId) => {
      return { kind: RelayEventKind.Ask, requestId, question, ...place }
    })
  }

  override noteRefusal(place: ClientPlace, reason: string): void {
    const { host, path } = place
    this.options.log.info('a request was refused unread', { host, path, reason })
  }

  /**
   * An answer has come.
   *
   * @param attempts - leaders that may have taken the request
   */
  answer(outcome: JobOutcome, attempts: number): void {
    const request = this.open.get(outcome.requestId)
    if (request === undefined) return
    this.open.delete(outcome.requestId)
    this.report(request.place, outcome, attempts)
    request.done(outcome)
  }

  /** Ends when the caller is answered; interrupting it means that the caller is gone. */
  private relay(
    place: ClientPlace,
    toEvent: (requestId: string) => RelayEvent,
  ): Effect.Effect<JobOutcome> {
    return Effect.callback((resume) => {
      const requestId = `${this.options.boot}.${++this.counted}`
      const done = (outcome: JobOutcome): void => {
        resume(Effect.succeed(outcome))
      }
      this.open.set(requestId, { place, done })
      this.options.tell(toEvent(requestId))
      return Effect.sync(() => {
        this.leave(requestId, place)
      })
    })
  }

  private leave(requestId: string, { host, path, receivedAt }: ClientPlace): void {
    if (!this.open.delete(requestId)) return
    const ms = Math.round(this.options.now() - receivedAt)
    this.options.log.info('a caller left before its answer', { host, path, ms })
    this.options.tell({ kind: RelayEventKind.Abandon, requestId })
  }

  private report(place: ClientPlace, outcome: JobOutcome, attempts: number): void {
    const { host, path, receivedAt, deadlineAt } = place
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
