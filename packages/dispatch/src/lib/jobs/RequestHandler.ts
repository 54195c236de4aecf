import { exhaustive, Mechanism } from '@cherryhitch/model'
import { JobQuestionKind, JobVerdict } from '@cherryhitch/protocol'
import type { AbandonJob, AskJob, SubmitJob } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import { retryAfter } from '../scheduling/retryAfter'
import { findRoute } from './findRoute'
import type { IntakeLimit } from './IntakeLimit'
import type { JobWaiter } from './Job'
import type { JobLifecycle } from './JobLifecycle'

/** When callers may come back while no routing is known, in milliseconds. */
const NO_ROUTING_RETRY_MS = 1_000
/** What a leader that is behind needs to catch up, in milliseconds: its limit adapts in less. */
const BUSY_BACKLOG_MS = 1_000

/** A question that is answered once a majority has followed this leader after it came. */
interface Unconfirmed {
  readonly askedAt: number
  readonly waiter: JobWaiter
  readonly askAgain: () => void
}

/** Takes the requests of callers, which other instances bring here. @internal */
export class RequestHandler {
  #unconfirmed: Unconfirmed[] = []
  #isConfirming = false

  constructor(
    private readonly core: DispatchCore,
    private readonly lifecycle: JobLifecycle,
    private readonly intake: IntakeLimit,
  ) {}

  submit(now: number, from: string, req: SubmitJob): void {
    const waiter = { instance: from, requestId: req.requestId }
    const { spec, host, path } = req
    if (!this.#leads(waiter) || this.#isTooBusy(waiter, req)) return
    const found = findRoute(this.core.table, host, path)
    if (found === undefined || spec === undefined) {
      this.#answerNoRoute(now, waiter, () => {
        this.submit(now, from, req)
      })
      return
    }
    const { jobs } = this.lifecycle
    const ended = jobs.ended(spec.jobId)
    if (ended !== undefined && isFinal(ended.verdict, req)) {
      this.core.answer(waiter, ended.verdict, { reason: ended.reason })
      return
    }
    const isNew = jobs.get(spec.jobId) === undefined
    const job = jobs.take(now, spec, found.route, req)
    jobs.wait(job, waiter)
    if (isNew) this.lifecycle.resume(now, job)
    this.lifecycle.judge(now, job)
  }

  ask(now: number, from: string, req: AskJob): void {
    const waiter = { instance: from, requestId: req.requestId }
    if (!this.#leads(waiter)) return
    const found = findRoute(this.core.table, req.host, req.path)
    if (found === undefined) {
      this.#answerNoRoute(now, waiter, () => {
        this.ask(now, from, req)
      })
      return
    }
    switch (req.kind) {
      case JobQuestionKind.PENDING: {
        const pending = this.lifecycle.jobs.pendingOf(found.route)
        this.core.answer(waiter, JobVerdict.COUNTED, { pending })
        return
      }
      case JobQuestionKind.CANCEL:
        this.#cancel(now, found.rest, waiter)
        return
      case JobQuestionKind.STATE:
      case JobQuestionKind.UNSPECIFIED:
        this.core.answer(waiter, this.#stateOf(found.rest))
        return
      default:
        exhaustive(req.kind)
    }
  }

  abandon(now: number, from: string, { requestId }: AbandonJob): void {
    const job = this.lifecycle.jobs.leave(from, requestId)
    if (job !== undefined) this.lifecycle.end(now, job, JobVerdict.CANCELLED, 'its caller is gone')
  }

  /** A majority followed this leader at the given time. */
  onConfirmed(at: number): void {
    const isConfirmed = ({ askedAt }: Unconfirmed): boolean => askedAt <= at
    const confirmed = this.#unconfirmed.filter(isConfirmed)
    if (confirmed.length === 0) return
    this.#unconfirmed = this.#unconfirmed.filter((question) => !isConfirmed(question))
    this.#isConfirming = true
    for (const { askAgain } of confirmed) askAgain()
    this.#isConfirming = false
  }

  /** Another instance leads. */
  clear(): void {
    for (const { waiter } of this.#unconfirmed) this.core.answer(waiter, JobVerdict.NOT_LEADER)
    this.#unconfirmed = []
  }

  /**
   * Refuses a new job at once while this instance has no time for it. One that an earlier leader
   * had may have run, and so is always taken in.
   */
  #isTooBusy(waiter: JobWaiter, { spec, earlierAttempts }: SubmitJob): boolean {
    if (!this.core.uses(Mechanism.IntakeLimit)) return false
    const jobId = spec?.jobId ?? ''
    if (earlierAttempts > 0 || this.lifecycle.jobs.get(jobId) !== undefined) return false
    if (this.lifecycle.jobs.ended(jobId) !== undefined || this.intake.admit()) return false
    this.core.counters.refused_busy++
    const retryAfterMs = retryAfter(jobId, BUSY_BACKLOG_MS)
    const reason = 'the leader is behind with its work'
    this.core.log('a job is refused unseen, since this instance is behind', { job: jobId })
    this.core.answer(waiter, JobVerdict.REFUSED, { reason, retryAfterMs })
    return true
  }

  #leads(waiter: JobWaiter): boolean {
    if (this.core.term !== undefined) return true
    this.core.answer(waiter, JobVerdict.NOT_LEADER)
    return false
  }

  #stateOf(id: string): JobVerdict {
    const { jobs } = this.lifecycle
    const job = jobs.get(id)
    if (job === undefined || job.isClosed) return jobs.ended(id)?.verdict ?? JobVerdict.NO_JOB
    return job.hasStarted ? JobVerdict.RUNNING : JobVerdict.QUEUED
  }

  #cancel(now: number, id: string, waiter: JobWaiter): void {
    const job = this.lifecycle.jobs.get(id)
    if (job === undefined) {
      this.lifecycle.jobs.noteCancelled(now, id)
      this.core.answer(waiter, JobVerdict.NO_JOB)
      return
    }
    this.lifecycle.end(now, job, JobVerdict.CANCELLED, 'cancelled by its caller')
    this.core.answer(waiter, JobVerdict.CANCELLED)
  }

  /**
   * Says that there is no route, once a majority has followed this leader after the question came:
   * before that a newer leader may know a newer routing, which has it.
   */
  #answerNoRoute(askedAt: number, waiter: JobWaiter, askAgain: () => void): void {
    const { table } = this.core
    if (table === undefined) {
      const reason = 'no routing is known yet'
      this.core.answer(waiter, JobVerdict.REFUSED, { reason, retryAfterMs: NO_ROUTING_RETRY_MS })
      return
    }
    if (this.#isConfirming) {
      const { version } = table
      this.core.log('a request has no route', { ...waiter, version })
      this.core.answer(waiter, JobVerdict.NO_ROUTE, { reason: `no route in version ${version}` })
      return
    }
    this.#unconfirmed.push({ askedAt, waiter, askAgain })
  }
}

/** Whether a job that has ended so is not begun again by a request for it. */
function isFinal(verdict: JobVerdict, { earlierAttempts }: SubmitJob): boolean {
  if (verdict === JobVerdict.COMPLETED || verdict === JobVerdict.FAILED) return true
  // The request is older than the cancellation: an earlier leader had it.
  return verdict === JobVerdict.CANCELLED && earlierAttempts > 0
}
