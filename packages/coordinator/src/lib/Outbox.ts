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
  /** Least time between two messages of cancellations to one owner. */
  readonly cancelBatchMs: number
  /** Cancellations kept for an owner that can't be reached. */
  readonly pendingCancelsPerOwner: number
  readonly isReachable: (instance: string) => boolean
}

/** Collects the actions of a step. @internal */
export class Outbox {
  private actions: CoordinatorAction[] = []
  private readonly pendingCancels = new Map<string, PendingCancels>()

  constructor(private readonly options: OutboxOptions) {}

  send(to: string, body: EnvelopeBody): void {
    const made = create(EnvelopeSchema)
    made.body = body
    this.actions.push({ kind: CoordinatorActionKind.Send, to, envelope: made })
  }

  reply(waiter: Waiter, answer: JobAnswer | undefined): void {
    const { requestId } = waiter
    if (waiter.kind === WaiterKind.Local) {
      this.actions.push({ kind: CoordinatorActionKind.Reply, requestId, answer })
      return
    }
    const value = answer === undefined ? { requestId } : { requestId, answer }
    const made = envelope({ case: 'jobReply', value })
    this.actions.push({ kind: CoordinatorActionKind.Send, to: waiter.instance, envelope: made })
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

  /** Tells an owner, with the next batch, that no task of the job is wanted any more. */
  cancel(owner: string, jobId: string, reason: Reason): void {
    let owed = this.pendingCancels.get(owner)
    if (owed === undefined) {
      owed = { jobs: [], sentAt: -Infinity }
      this.pendingCancels.set(owner, owed)
    }
    owed.jobs.push(create(CancelledJobSchema, { jobId, reason }))
    if (owed.jobs.length > this.options.pendingCancelsPerOwner) owed.jobs.shift()
  }

  /** The owner is gone, and with it what it might have cancelled. */
  forgetCancels(owner: string): void {
    this.pendingCancels.delete(owner)
  }

  /**
   * Takes out the actions; cancellations that follow closely on others wait for a tick, unless
   * this is the last step.
   */
  takeActions(now: number, isLast: boolean): readonly CoordinatorAction[] {
    for (const [owner, owed] of this.pendingCancels) {
      if (owed.jobs.length === 0) continue
      if (now - owed.sentAt < this.options.cancelBatchMs && !isLast) continue
      if (!this.options.isReachable(owner)) continue
      this.sendCancels(now, owner, owed)
    }
    const taken = this.actions
    this.actions = []
    return taken
  }

  private sendCancels(now: number, owner: string, owed: PendingCancels): void {
    this.options.counters.cancelMessages++
    const made = envelope({ case: 'cancelTasks', value: { jobs: owed.jobs } })
    this.actions.push({ kind: CoordinatorActionKind.Send, to: owner, envelope: made })
    owed.jobs = []
    owed.sentAt = now
  }
}
