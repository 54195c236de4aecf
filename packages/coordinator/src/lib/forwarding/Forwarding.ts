import type { EnvelopeBody, JobAnswer, JobReply } from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import { DueKind } from '../timers/DueItem'

/** Why a request that was sent on stays without an answer. @internal */
export enum ForwardLoss {
  /** The boot that was asked is gone, or silent for longer than a lease. */
  TargetGone = 'target_gone',
  TimedOut = 'timed_out',
}

/** A request to another instance. @internal */
export interface ForwardRequest {
  readonly target: string
  /** Makes the message; called again for a resend, with the time left. */
  readonly body: (now: number, requestId: string) => EnvelopeBody
  readonly expiresAt: number
  /** Time until the first resend; it doubles with each one. */
  readonly resendMs: number
  readonly onAnswer: (now: number, answer: JobAnswer | undefined) => void
  readonly onLost: (now: number, loss: ForwardLoss) => void
}

interface Pending {
  readonly request: ForwardRequest
  readonly boot: number
  resendMs: number
}

/** Requests that were sent on to other instances and wait for a JobReply. @internal */
export class Forwarding {
  private readonly pending = new Map<string, Pending>()
  private lastId = 0

  constructor(private readonly context: CoordinatorContext) {}

  get size(): number {
    return this.pending.size
  }

  ask(now: number, request: ForwardRequest): string {
    const { instance, boot } = this.context.options
    // The boot keeps a reply to an earlier process of this instance from being taken for ours.
    const id = `${instance}.${boot}.${++this.lastId}`
    const targetBoot = this.context.members.bootOf(request.target)
    const entry = { request, boot: targetBoot, resendMs: request.resendMs }
    this.pending.set(id, entry)
    this.send(now, id, entry)
    this.scheduleNext(now, id, entry)
    return id
  }

  /** Nobody waits for the answer any more. */
  forget(id: string): void {
    this.pending.delete(id)
  }

  takeReply(now: number, from: string, reply: JobReply): void {
    const entry = this.pending.get(reply.requestId)
    if (entry?.request.target !== from) {
      this.context.counters.strayReplies++
      return
    }
    this.pending.delete(reply.requestId)
    entry.request.onAnswer(now, reply.answer)
  }

  /** An instance restarted: it knows nothing of what its earlier boot was asked. */
  targetRestarted(now: number, target: string, boot: number): void {
    for (const [id, entry] of this.pending) {
      if (entry.request.target !== target || entry.boot !== boot) continue
      this.lose(now, id, entry, ForwardLoss.TargetGone)
    }
  }

  /** No answer came for a while: asks again, or gives up. */
  checkLate(now: number, id: string): void {
    const entry = this.pending.get(id)
    if (entry === undefined) return
    const { target, expiresAt } = entry.request
    const { members, timing } = this.context
    if (now >= expiresAt) {
      this.lose(now, id, entry, ForwardLoss.TimedOut)
      return
    }
    if (members.isPresent(target, entry.boot)) this.send(now, id, entry)
    else if (now >= members.heardAt(target) + timing.leaseMs + timing.leaseMarginMs) {
      this.lose(now, id, entry, ForwardLoss.TargetGone)
      return
    }
    entry.resendMs = Math.min(entry.resendMs * 2, timing.askEveryMaxMs)
    this.scheduleNext(now, id, entry)
  }

  private send(now: number, id: string, { request }: Pending): void {
    this.context.counters.forwards++
    this.context.outbox.send(request.target, request.body(now, id))
  }

  private lose(now: number, id: string, { request }: Pending, loss: ForwardLoss): void {
    this.pending.delete(id)
    request.onLost(now, loss)
  }

  private scheduleNext(now: number, forwardId: string, entry: Pending): void {
    const at = Math.min(entry.request.expiresAt, now + entry.resendMs)
    this.context.due.schedule(at, { kind: DueKind.ForwardLate, forwardId })
  }
}
