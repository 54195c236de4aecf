import type { JobAnswer } from '@cherryhitch/protocol'
import type { Outbox } from '../Outbox'
import type { Job } from './Job'
import type { RequestBook } from './RequestBook'
import type { Waiter } from './Waiter'
import { isSameWaiter, WaiterKind } from './Waiter'

/** Keeps who waits for what, so that each request gets exactly one reply. @internal */
export class Replies {
  constructor(
    private readonly outbox: Outbox,
    private readonly requests: RequestBook,
  ) {}

  /** The request is answered when the job ends. A resent request is attached once. */
  attach(job: Job, waiter: Waiter): void {
    if (job.waiters.some((other) => isSameWaiter(other, waiter))) return
    job.waiters.push(waiter)
    if (waiter.kind !== WaiterKind.Local) return
    this.requests.open(waiter.requestId, { sequence: job.sequence })
  }

  /** The request is answered when a reply to the forwarded one comes. */
  attachForward(waiter: Waiter, forwardId: string): void {
    if (waiter.kind !== WaiterKind.Local) return
    this.requests.open(waiter.requestId, { forwardId })
  }

  give(waiter: Waiter, answer: JobAnswer | undefined): void {
    if (waiter.kind === WaiterKind.Local) this.requests.close(waiter.requestId)
    this.outbox.reply(waiter, answer)
  }

  /** Answers those that only want to know that the job was taken, and where it is found. */
  answerAsync(job: Job, answer: JobAnswer): void {
    const early = job.waiters.filter((waiter) => waiter.respondAsync)
    if (early.length === 0) return
    const rest = job.waiters.filter((waiter) => !waiter.respondAsync)
    job.waiters.splice(0, job.waiters.length, ...rest)
    for (const waiter of early) this.give(waiter, answer)
  }

  /** The caller of a request is gone. */
  detach(job: Job, requestId: string): void {
    const at = job.waiters.findIndex(
      (waiter) => waiter.kind === WaiterKind.Local && waiter.requestId === requestId,
    )
    if (at >= 0) job.waiters.splice(at, 1)
  }

  /** All that wait for one job wait for another one from now on. */
  move(from: Job, to: Job): void {
    for (const waiter of from.waiters.splice(0)) this.attach(to, waiter)
  }
}
