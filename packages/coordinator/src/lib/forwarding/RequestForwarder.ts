import type { EnvelopeBody, JobAnswer, JobReply } from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import { TimerKind } from '../timers/CoordinatorTimer'

/** Reason why a forwarded request got no answer. @internal */
export enum ForwardFailure {
  /** The boot that the request was sent to is gone, or unreachable for longer than a lease. */
  TargetGone = 'target_gone',
  TimedOut = 'timed_out',
}

/** A request to forward to another instance. @internal */
export interface ForwardRequest {
  readonly target: string
  /** Builds the message; called for each resend with the current time, to update deadlines. */
  readonly body: (now: number, requestId: string) => EnvelopeBody
  readonly expiresAt: number
  /** Delay of the first resend; doubles with each further one. */
  readonly resendMs: number
  readonly onAnswer: (now: number, answer: JobAnswer | undefined) => void
  readonly onFailure: (now: number, failure: ForwardFailure) => void
}

interface PendingRequest {
  readonly request: ForwardRequest
  readonly boot: number
  resendMs: number
}

/** Forwards requests to other instances, resends them, and matches the replies. @internal */
export class RequestForwarder {
  private readonly pending = new Map<string, PendingRequest>()
  private lastId = 0

  constructor(private readonly context: CoordinatorContext) {}

  get size(): number {
    return this.pending.size
  }

  forward(now: number, request: ForwardRequest): string {
    const { instance, boot } = this.context.options
    // Includes the boot, so that replies to an earlier process of this instance do not match.
    const id = `${instance}.${boot}.${++this.lastId}`
    const targetBoot = this.context.members.bootOf(request.target)
    const pending = { request, boot: targetBoot, resendMs: request.resendMs }
    this.pending.set(id, pending)
    this.send(now, id, pending)
    this.scheduleTimeout(now, id, pending)
    return id
  }

  /** Drops a request whose answer is no longer needed. */
  drop(id: string): void {
    this.pending.delete(id)
  }

  handleReply(now: number, from: string, reply: JobReply): void {
    const pending = this.pending.get(reply.requestId)
    if (pending?.request.target !== from) {
      this.context.counters.strayReplies++
      return
    }
    this.pending.delete(reply.requestId)
    pending.request.onAnswer(now, reply.answer)
  }

  /** Fails the requests sent to an earlier boot; the new boot has no record of them. */
  handleRestart(now: number, target: string, boot: number): void {
    for (const [id, pending] of this.pending) {
      if (pending.request.target !== target || pending.boot !== boot) continue
      this.fail(now, id, pending, ForwardFailure.TargetGone)
    }
  }

  /** Resends a request that is still unanswered, or fails it at its expiry. */
  checkTimeout(now: number, id: string): void {
    const pending = this.pending.get(id)
    if (pending === undefined) return
    const { target, expiresAt } = pending.request
    const { members, timing } = this.context
    if (now >= expiresAt) {
      this.fail(now, id, pending, ForwardFailure.TimedOut)
      return
    }
    if (members.isAliveInBoot(target, pending.boot)) this.send(now, id, pending)
    else if (now >= members.heardAt(target) + timing.leaseMs + timing.leaseMarginMs) {
      this.fail(now, id, pending, ForwardFailure.TargetGone)
      return
    }
    pending.resendMs = Math.min(pending.resendMs * 2, timing.maxQueryIntervalMs)
    this.scheduleTimeout(now, id, pending)
  }

  private send(now: number, id: string, { request }: PendingRequest): void {
    this.context.counters.forwards++
    this.context.outbox.send(request.target, request.body(now, id))
  }

  private fail(
    now: number,
    id: string,
    { request }: PendingRequest,
    failure: ForwardFailure,
  ): void {
    this.pending.delete(id)
    request.onFailure(now, failure)
  }

  private scheduleTimeout(now: number, forwardId: string, pending: PendingRequest): void {
    const at = Math.min(pending.request.expiresAt, now + pending.resendMs)
    this.context.timers.schedule(at, { kind: TimerKind.ForwardTimeout, forwardId })
  }
}
