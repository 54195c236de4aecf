import { exhaustive, Mechanism } from '@cherryhitch/model'
import { JobQuestionKind, JobVerdict } from '@cherryhitch/protocol'
import type { AbandonJob, AskJob, SubmitJob } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import { retryAfter } from '../scheduling/retryAfter'
import { JobOrigin } from '../takeover/JobOrigin'
import { findRoute } from './findRoute'
import type { FoundRoute } from './findRoute'
import type { IntakeLimit } from './IntakeLimit'
import type { JobWaiter } from './Job'
import type { JobLifecycle } from './JobLifecycle'

/** Retry delay sent to callers while no routing is known, in milliseconds. */
const NO_ROUTING_RETRY_MS = 1_000
/** Time for an overloaded leader to catch up, in milliseconds; its intake limit adapts in less. */
const OVERLOAD_RECOVERY_MS = 1_000

/**
 * Longest wait for a majority to confirm this leader, in milliseconds. Voters elect another leader
 * when they haven't heard from theirs for as long.
 *
 * @internal
 */
export const CONFIRMATION_TIMEOUT_MS = 300
/**
 * Part of a caller's remaining time that is reserved for the way to its entry and on to the caller,
 * in milliseconds: the entry's own margin and two transits between busy instances.
 *
 * @internal
 */
export const ANSWER_MARGIN_MS = 80

/** A request for which no route is known here, and what to do with it. */
interface UnroutedRequest {
  readonly waiter: JobWaiter
  /** How long its caller still waits, in milliseconds. */
  readonly remainingMs: number
  /** Whether its job may have run, here or under another leader. */
  readonly mayHaveRun: () => boolean
  readonly retry: () => void
}

/** A request to be answered once a majority has confirmed this leader after the request came. */
interface UnconfirmedRequest extends UnroutedRequest {
  readonly receivedAt: number
  /** When it is answered without a confirmation. */
  readonly expiresAt: number
}

/** Handles the requests of callers that other instances relay to the leader. @internal */
export class RequestHandler {
  #unconfirmed: UnconfirmedRequest[] = []
  #isConfirming = false

  constructor(
    private readonly core: DispatchCore,
    private readonly lifecycle: JobLifecycle,
    private readonly intake: IntakeLimit,
  ) {}

  submit(now: number, from: string, req: SubmitJob): void {
    const waiter = this.#waiterOf(from, req.requestId)
    const { spec, host, path } = req
    if (!this.#requireLeadership(waiter) || this.#refuseIfOverloaded(now, waiter, req)) return
    const found = findRoute(this.core.table, host, path)
    if (found === undefined || spec === undefined) {
      const { remainingMs } = req
      const mayHaveRun = (): boolean => this.#mayHaveRun(now, req)
      const retry = (): void => {
        this.submit(now, from, req)
      }
      this.#answerNoRoute(now, { waiter, remainingMs, mayHaveRun, retry })
      return
    }
    if (spec.jobId !== jobIdIn(found)) {
      this.core.answer(waiter, JobVerdict.NO_ROUTE, { reason: 'the path is not that of a job' })
      return
    }
    const { jobs } = this.lifecycle
    const ended = jobs.endedJob(spec.jobId)
    if (ended !== undefined && isFinal(ended.verdict, req)) {
      this.core.answer(waiter, ended.verdict, { reason: ended.reason })
      return
    }
    const isNew = jobs.get(spec.jobId) === undefined
    const job = jobs.accept(now, spec, found.route, req)
    jobs.addWaiter(job, waiter)
    if (isNew) this.lifecycle.resume(now, job)
    this.lifecycle.endIfCrashSuspect(now, job)
  }

  ask(now: number, from: string, req: AskJob): void {
    const waiter = this.#waiterOf(from, req.requestId)
    if (!this.#requireLeadership(waiter)) return
    const found = findRoute(this.core.table, req.host, req.path)
    if (found === undefined) {
      const remainingMs = req.remainingMs > 0 ? req.remainingMs : Infinity
      const retry = (): void => {
        this.ask(now, from, req)
      }
      this.#answerNoRoute(now, { waiter, remainingMs, mayHaveRun: () => false, retry })
      return
    }
    const question = questionOf(req, found)
    switch (question) {
      case JobQuestionKind.PENDING: {
        const pending = this.lifecycle.jobs.countPending(found.route)
        this.core.answer(waiter, JobVerdict.COUNTED, { pending })
        return
      }
      case JobQuestionKind.CANCEL:
        this.#cancel(now, jobIdIn(found), waiter)
        return
      case JobQuestionKind.STATE:
      case JobQuestionKind.UNSPECIFIED:
        this.core.answer(waiter, this.#stateOf(jobIdIn(found)))
        return
      default:
        exhaustive(question)
    }
  }

  #waiterOf(instance: string, requestId: string): JobWaiter {
    return { instance, requestId, routingVersion: this.core.table?.version ?? 0 }
  }

  abandon(now: number, from: string, { requestId }: AbandonJob): void {
    this.#unconfirmed = this.#unconfirmed.filter(({ waiter }) => {
      return waiter.instance !== from || waiter.requestId !== requestId
    })
    const job = this.lifecycle.jobs.removeWaiter(from, requestId)
    if (job !== undefined) this.lifecycle.end(now, job, JobVerdict.CANCELLED, 'its caller is gone')
  }

  /** Answers the requests for which a confirmation would come too late. */
  tick(now: number): void {
    const expired = this.#unconfirmed.filter(({ expiresAt }) => now >= expiresAt)
    if (expired.length === 0) return
    this.#unconfirmed = this.#unconfirmed.filter(({ expiresAt }) => now < expiresAt)
    for (const request of expired) this.#answerUnconfirmed(request)
  }

  /** A majority of the voters followed this leader at the given time. */
  onConfirmed(at: number): void {
    const isConfirmed = ({ receivedAt }: UnconfirmedRequest): boolean => receivedAt <= at
    const confirmed = this.#unconfirmed.filter(isConfirmed)
    if (confirmed.length === 0) return
    this.#unconfirmed = this.#unconfirmed.filter((request) => !isConfirmed(request))
    this.#isConfirming = true
    for (const { retry } of confirmed) retry()
    this.#isConfirming = false
  }

  /** Answers the unconfirmed requests after the loss of leadership. */
  clear(): void {
    for (const { waiter } of this.#unconfirmed) this.core.answer(waiter, JobVerdict.NOT_LEADER)
    this.#unconfirmed = []
  }

  /**
   * Refuses a new job while this instance is overloaded; returns true if it did. A job that an
   * earlier leader had may have run, so it is never refused here. As long as that can't be told, the
   * outcome of a job is unknown.
   */
  #refuseIfOverloaded(now: number, waiter: JobWaiter, req: SubmitJob): boolean {
    if (!this.core.isEnabled(Mechanism.IntakeLimit)) return false
    const { jobs } = this.lifecycle
    const jobId = req.spec?.jobId ?? ''
    if (req.earlierAttempts > 0 || jobs.get(jobId) !== undefined) return false
    if (jobs.endedJob(jobId) !== undefined || this.intake.admit()) return false
    const origin = jobs.earlierJobs.originOf(now, jobId, now - req.waitedMs)
    if (origin === JobOrigin.Earlier) return false
    this.core.counters.refused_busy++
    const retryAfterMs = retryAfter(jobId, OVERLOAD_RECOVERY_MS)
    const reason = 'the leader is behind with its work'
    const verdict = origin === JobOrigin.New ? JobVerdict.REFUSED : JobVerdict.UNKNOWN
    this.core.log('job refused without processing: this instance is overloaded', {
      job: jobId,
      origin,
    })
    this.core.answer(waiter, verdict, { reason, retryAfterMs })
    return true
  }

  /** Whether this leader, or an earlier one, may have run a job. */
  #mayHaveRun(now: number, { spec, earlierAttempts, waitedMs }: SubmitJob): boolean {
    const { jobs } = this.lifecycle
    const jobId = spec?.jobId ?? ''
    if (earlierAttempts > 0 || jobs.get(jobId) !== undefined) return true
    if (jobs.endedJob(jobId) !== undefined) return true
    return jobs.earlierJobs.originOf(now, jobId, now - waitedMs) !== JobOrigin.New
  }

  /** Answers the request with `NOT_LEADER` and returns false unless this instance leads. */
  #requireLeadership(waiter: JobWaiter): boolean {
    if (this.core.term !== undefined) return true
    this.core.answer(waiter, JobVerdict.NOT_LEADER)
    return false
  }

  #stateOf(id: string): JobVerdict {
    const { jobs } = this.lifecycle
    const job = jobs.get(id)
    if (job === undefined || job.isClosed) return jobs.endedJob(id)?.verdict ?? JobVerdict.NO_JOB
    return job.hasStarted ? JobVerdict.RUNNING : JobVerdict.QUEUED
  }

  #cancel(now: number, id: string, waiter: JobWaiter): void {
    const job = this.lifecycle.jobs.get(id)
    if (job === undefined) {
      this.lifecycle.jobs.recordCancelled(now, id)
      this.core.answer(waiter, JobVerdict.NO_JOB)
      return
    }
    this.lifecycle.end(now, job, JobVerdict.CANCELLED, 'cancelled by its caller')
    this.core.answer(waiter, JobVerdict.CANCELLED)
  }

  /**
   * Answers that no route matches, once a majority has confirmed this leader after the request
   * came. Until then a newer leader may exist, whose newer routing table has a route.
   */
  #answerNoRoute(receivedAt: number, request: UnroutedRequest): void {
    const { table } = this.core
    const { waiter, remainingMs } = request
    if (table === undefined) {
      const reason = 'no routing is known yet'
      this.core.answer(waiter, JobVerdict.REFUSED, { reason, retryAfterMs: NO_ROUTING_RETRY_MS })
      return
    }
    if (this.core.zone !== undefined) {
      const reason = 'the zone is cut off, and no route is known here'
      this.core.answer(waiter, JobVerdict.REFUSED, { reason, retryAfterMs: NO_ROUTING_RETRY_MS })
      return
    }
    if (this.#isConfirming) {
      const { version } = table
      this.core.log('no route matches the request', { ...waiter, version })
      this.core.answer(waiter, JobVerdict.NO_ROUTE, { reason: `no route in version ${version}` })
      return
    }
    const waitMs = Math.min(CONFIRMATION_TIMEOUT_MS, remainingMs - ANSWER_MARGIN_MS)
    const unconfirmed = { ...request, receivedAt, expiresAt: receivedAt + waitMs }
    if (waitMs > 0) this.#unconfirmed.push(unconfirmed)
    else this.#answerUnconfirmed(unconfirmed)
  }

  /** Whether the route exists can't be told in time; this leader has not run the job. */
  #answerUnconfirmed({ waiter, mayHaveRun }: UnconfirmedRequest): void {
    const reason = 'no majority has confirmed in time that there is no route'
    this.core.log('a request without a route was not confirmed in time', { ...waiter })
    if (mayHaveRun()) this.core.answer(waiter, JobVerdict.UNKNOWN, { reason })
    else {
      const retryAfterMs = NO_ROUTING_RETRY_MS
      this.core.answer(waiter, JobVerdict.REFUSED, { reason, retryAfterMs })
    }
  }
}

/** The id of the job that a path names; a slash may stand between it and the prefix. */
function jobIdIn({ rest }: FoundRoute): string {
  return rest.slice(rest.lastIndexOf('/') + 1)
}

/** A path that is only a prefix addresses the queue, also one without a slash at its end. */
function questionOf({ kind }: AskJob, { rest }: FoundRoute): JobQuestionKind {
  return kind === JobQuestionKind.STATE && rest === '' ? JobQuestionKind.PENDING : kind
}

/** Whether a request for a job with this verdict is answered without running the job again. */
function isFinal(verdict: JobVerdict, { earlierAttempts }: SubmitJob): boolean {
  if (verdict === JobVerdict.COMPLETED || verdict === JobVerdict.FAILED) return true
  // An earlier leader had the request, so it is older than the cancellation.
  return verdict === JobVerdict.CANCELLED && earlierAttempts > 0
}
