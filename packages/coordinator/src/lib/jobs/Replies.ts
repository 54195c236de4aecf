import type { JobAnswer } from '@cherryhitch/protocol'
import type { Outbox } from '../Outbox'
import type { Job } from './Job'
import type { RequestTable } from './RequestTable'
import type { Waiter } from './Waiter'
import { isSameWaiter, WaiterKind } from './Waiter'

/** Tracks the waiters of jobs and requests, so that each request gets one reply. @internal */
export class Replies {
  constructor(
    private readonly outbox: Outbox,
    private readonly requests: RequestTable,
  ) {}

  /** Makes a request wait for the end of a job. A resent request is attached only once. */
  attach(job: Job, waiter: Waiter): void {
    if (job.waiters.some((other) => isSameWaiter(other, waiter))) return
    job.waiters.push(waiter)
    if (waiter.kind !== WaiterKind.Local) return
    this.requests.open(waiter.requestId, { sequence: job.sequence })
  }

  /** Makes a request wait for the reply to a forwarded request. */
  attachForward(waiter: Waiter, forwardId: string): void {
    if (waiter.kind !== WaiterKind.Local) return
    this.requests.open(waiter.requestId, { forwardId })
  }

  send(waiter: Waiter, answer: JobAnswer | undefined): void {
    if (waiter.kind === WaiterKind.Local) this.requests.close(waiter.requestId)
    this.outbox.reply(waiter, answer)
  }

  /** Replies early to waiters with `respondAsync`: the job was accepted and has this id. */
  answerAsync(job: Job, answer: JobAnswer): void {
    const asyncWaiters = job.waiters.filter((waiter) => waiter.respondAsync)
    if (asyncWaiters.length === 0) return
    const remaining = job.waiters.filter((waiter) => !waiter.respondAsync)
    job.waiters.splice(0, job.waiters.length, ...remaining)
    for (const waiter of asyncWaiters) this.send(waiter, answer)
  }

  /** Removes the waiter of a caller that disconnected. */
  detach(job: Job, requestId: string): void {
    const position = job.waiters.findIndex(
      (waiter) => waiter.kind === WaiterKind.Local && waiter.requestId === requestId,
    )
    if (position >= 0) job.waiters.splice(position, 1)
  }

  /** Moves all waiters of one job to another job. */
  move(from: Job, to: Job): void {
    for (const waiter of from.waiters.splice(0)) this.attach(to, waiter)
  }
}
