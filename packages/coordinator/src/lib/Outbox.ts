import { create } from '@bufbuild/protobuf'
import type { SpanRecord } from '@cherryhitch/model'
import type {
  CancelledJob,
  ClaimEnd,
  EnvelopeBody,
  JobAnswer,
  KeyClaim,
  Reason,
} from '@cherryhitch/protocol'
import { CancelledJobSchema, EnvelopeSchema, envelope } from '@cherryhitch/protocol'
import type { CoordinatorAction } from './CoordinatorAction'
import { CoordinatorActionKind } from './CoordinatorAction'
import type { CoordinatorCounters } from './CoordinatorCounters'
import { WaiterKind } from './jobs/Waiter'
import type { Waiter } from './jobs/Waiter'

interface PendingCancels {
  jobs: CancelledJob[]
  sentAt: number
}

/** @internal */
export interface OutboxOptions {
  readonly counters: CoordinatorCounters
  /** Minimum interval between cancellation messages to one owner. */
  readonly cancelBatchMs: number
  /** Maximum number of cancellations buffered for one owner; the oldest is dropped first. */
  readonly pendingCancelsPerOwner: number
  readonly isReachable: (instance: string) => boolean
}

/** Collects the actions of a step, and batches the cancellations to each owner. @internal */
export class Outbox {
  private actions: CoordinatorAction[] = []
  private readonly pendingCancels = new Map<string, PendingCancels>()

  constructor(private readonly options: OutboxOptions) {}

  send(to: string, body: EnvelopeBody): void {
    const message = create(EnvelopeSchema)
    message.body = body
    this.actions.push({ kind: CoordinatorActionKind.Send, to, envelope: message })
  }

  reply(waiter: Waiter, answer: JobAnswer | undefined): void {
    const { requestId } = waiter
    if (waiter.kind === WaiterKind.Local) {
      this.actions.push({ kind: CoordinatorActionKind.Reply, requestId, answer })
      return
    }
    const value = answer === undefined ? { requestId } : { requestId, answer }
    const message = envelope({ case: 'jobReply', value })
    this.actions.push({ kind: CoordinatorActionKind.Send, to: waiter.instance, envelope: message })
  }

  claim(claim: KeyClaim): void {
    this.options.counters.claims++
    this.actions.push({ kind: CoordinatorActionKind.Claim, claim })
  }

  endClaim(end: ClaimEnd): void {
    this.actions.push({ kind: CoordinatorActionKind.EndClaim, end })
  }

  span(span: SpanRecord): void {
    this.actions.push({ kind: CoordinatorActionKind.Span, span })
  }

  drained(): void {
    this.actions.push({ kind: CoordinatorActionKind.Drained })
  }

  /** Adds the cancellation of a job's tasks to the owner's next batch. */
  cancel(owner: string, jobId: string, reason: Reason): void {
    let pending = this.pendingCancels.get(owner)
    if (pending === undefined) {
      pending = { jobs: [], sentAt: -Infinity }
      this.pendingCancels.set(owner, pending)
    }
    pending.jobs.push(create(CancelledJobSchema, { jobId, reason }))
    if (pending.jobs.length > this.options.pendingCancelsPerOwner) pending.jobs.shift()
  }

  /** Discards the cancellations for an owner that restarted and so lost the tasks they refer to. */
  discardCancels(owner: string): void {
    this.pendingCancels.delete(owner)
  }

  /**
   * Removes and returns the collected actions. Cancellations to an owner that got a batch less than
   * `cancelBatchMs` ago wait for a later step, unless this is the last one.
   */
  takeActions(now: number, isLast: boolean): readonly CoordinatorAction[] {
    for (const [owner, pending] of this.pendingCancels) {
      if (pending.jobs.length === 0) continue
      if (now - pending.sentAt < this.options.cancelBatchMs && !isLast) continue
      if (!this.options.isReachable(owner)) continue
      this.sendCancels(now, owner, pending)
    }
    const actions = this.actions
    this.actions = []
    return actions
  }

  private sendCancels(now: number, owner: string, pending: PendingCancels): void {
    this.options.counters.cancelMessages++
    const message = envelope({ case: 'cancelTasks', value: { jobs: pending.jobs } })
    this.actions.push({ kind: CoordinatorActionKind.Send, to: owner, envelope: message })
    pending.jobs = []
    pending.sentAt = now
  }
}
