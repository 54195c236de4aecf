import { create } from '@bufbuild/protobuf'
import { deriveTraceparent, parseTraceparent } from '@cherryhitch/model'
import { pickOwner } from '@cherryhitch/policy'
import type { JobAnswer, JobSpec } from '@cherryhitch/protocol'
import { ForwardJobSchema, JobSpecSchema, JobState, Outcome, Reason } from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import type { RequestForwarder } from '../forwarding/RequestForwarder'
import { ForwardFailure } from '../forwarding/RequestForwarder'
import type { Job } from '../jobs/Job'
import { JobPhase } from '../jobs/Job'
import { problem, runningAnswer, unknownAnswer } from '../jobs/jobAnswers'
import type { JobProblem } from '../jobs/jobAnswers'
import type { SubmissionHandler, SubmitRequest } from '../jobs/SubmissionHandler'
import type { ClaimHandler } from './ClaimHandler'
import { contentHash } from './contentHash'
import type { KeyEntry } from './KeyTable'
import { formatKeyId, mayReuseAnswer } from './KeyTable'

/**
 * Time allowed after the deadline for the reply to arrive, since the coordinator of a forwarded job
 * itself answers at the deadline.
 */
const FORWARD_REPLY_MARGIN_MS = 50

const keyReused = problem(
  Reason.KEY_REUSED,
  'The submission key was used before with other content; this submission did not run.',
)
const targetGone = problem(
  Reason.COORDINATOR_LOST,
  'The coordinator of the job was lost; the job is idempotent and may be submitted again.',
)
const timedOut = problem(
  Reason.DEADLINE_PASSED,
  'The deadline passed before the coordinator of the job answered.',
)

/**
 * Handles jobs with a submission key. A resend joins the job that is running under the key, or gets
 * that job's answer.
 *
 * @internal
 */
export class KeyedJobHandler {
  constructor(
    private readonly context: CoordinatorContext,
    private readonly submissions: SubmissionHandler,
    private readonly claims: ClaimHandler,
    private readonly forwarder: RequestForwarder,
  ) {}

  submit(now: number, request: SubmitRequest): void {
    const { spec } = request
    const hash = contentHash(spec)
    const entry = this.context.keys.get(formatKeyId(spec.caller, spec.submissionKey))
    if (entry !== undefined && this.tryAnswer(now, request, entry, hash)) return
    if (spec.idempotent && !this.submissions.draining && this.tryForward(now, request, [])) return
    this.admitLocally(now, request, hash)
  }

  /** Makes this instance the coordinator of the job. */
  private admitLocally(now: number, request: SubmitRequest, hash: string): void {
    const { spec } = request
    const job = this.submissions.admit(now, request, hash)
    if (job === undefined) return
    this.context.keys.put(formatKeyId(spec.caller, spec.submissionKey), {
      jobId: job.id,
      sequence: job.sequence,
      contentHash: hash,
      isRunning: true,
      answersAnyResend: false,
      repliedTo: [],
    })
    if (spec.idempotent) this.submissions.start(now, job)
    else this.claims.requestClaim(now, job)
  }

  /** @returns false if the entry can't answer the request, so that the job has to run again */
  private tryAnswer(now: number, request: SubmitRequest, entry: KeyEntry, hash: string): boolean {
    const { answers, jobs, replies } = this.context
    if (!entry.isRunning && !mayReuseAnswer(entry, request.waiter)) return false
    const job = jobs.get(entry.sequence)
    const kept = answers.get(now, entry.jobId)
    if (job === undefined && kept === undefined) return false
    if (entry.contentHash !== hash) {
      this.submissions.refuseUnopened(request, keyReused)
      return true
    }
    this.context.counters.keyHits++
    if (job !== undefined) this.join(job, request)
    else replies.send(request.waiter, kept?.answer)
    return true
  }

  private join(job: Job, { waiter }: SubmitRequest): void {
    const { replies, policies } = this.context
    replies.attach(job, waiter)
    // Until the claim is answered, it is not known which job id to return: another job may hold the
    // key.
    if (job.phase === JobPhase.Claiming) return
    replies.answerAsync(job, runningAnswer(job, policies))
  }

  /**
   * Forwards an idempotent job to the coordinator that rendezvous hashing picks for its key, so
   * that a resend through any instance reaches the same coordinator.
   *
   * @returns false if this instance is to coordinate the job
   */
  private tryForward(now: number, request: SubmitRequest, excluded: readonly string[]): boolean {
    const { spec, waiter, isForwarded } = request
    const { members, options, replies } = this.context
    // A job is forwarded only once. Otherwise two instances with different views of the members
    // could forward it back and forth.
    if (isForwarded) return false
    const candidates = members.serving.filter((name) => !excluded.includes(name))
    const target = pickOwner(formatKeyId(spec.caller, spec.submissionKey), candidates)
    if (target === undefined || target === options.instance) return false
    const deadlineAt = now + this.submissions.deadlineInMs(spec)
    const traceparent = deriveTraceparent(
      spec.traceparent,
      `${options.instance}/${options.boot}/${now}/${waiter.requestId}`,
    )
    const failForward = (at: number, cause: JobProblem): void => {
      this.recordSpan(now, at, spec, traceparent, target, false)
      replies.send(waiter, unknownAnswer('', cause, this.context.policies))
    }
    const forwardId = this.forwarder.forward(now, {
      target,
      body: (at, requestId) => {
        const job = withRemainingTime(spec, deadlineAt - at, traceparent)
        const value = { requestId, job, respondAsync: request.respondAsync }
        return { case: 'forwardJob', value: create(ForwardJobSchema, value) }
      },
      expiresAt: this.forwardExpiry(now, request, deadlineAt),
      resendMs: this.context.timing.forwardTimeoutMs,
      onAnswer: (at, answer) => {
        if (answer === undefined) {
          failForward(at, targetGone)
          return
        }
        if (isDrainingRefusal(answer)) {
          const next = {
            ...request,
            spec: withRemainingTime(spec, deadlineAt - at, spec.traceparent),
          }
          this.forwardToNext(at, next, [...excluded, target])
          return
        }
        this.recordSpan(now, at, spec, traceparent, target, answer.state === JobState.SUCCEEDED)
        replies.send(waiter, answer)
      },
      onFailure: (at, failure) => {
        failForward(at, failure === ForwardFailure.TargetGone ? targetGone : timedOut)
      },
    })
    replies.attachForward(waiter, forwardId)
    return true
  }

  /**
   * Forwards the job to the next coordinator or admits it here, after the picked one refused it
   * because it is draining. A refusal guarantees that the job did not run there.
   */
  private forwardToNext(now: number, request: SubmitRequest, excluded: readonly string[]): void {
    if (this.tryForward(now, request, excluded)) return
    this.admitLocally(now, request, contentHash(request.spec))
  }

  private forwardExpiry(now: number, { respondAsync }: SubmitRequest, deadlineAt: number): number {
    if (!respondAsync) return deadlineAt + FORWARD_REPLY_MARGIN_MS
    return Math.min(deadlineAt, now + 2 * this.context.timing.forwardTimeoutMs)
  }

  private recordSpan(
    startMs: number,
    endMs: number,
    spec: JobSpec,
    traceparent: string,
    target: string,
    ok: boolean,
  ): void {
    const span = parseTraceparent(traceparent)
    this.context.outbox.span({
      name: 'coordinator.forward',
      traceId: span?.traceId ?? '',
      spanId: span?.spanId ?? '',
      parentSpanId: parseTraceparent(spec.traceparent)?.spanId ?? '',
      startMs,
      endMs,
      ok,
      attributes: { caller: spec.caller, target },
    })
  }
}

function isDrainingRefusal(answer: JobAnswer): boolean {
  return answer.outcome === Outcome.NOT_RUN && answer.reason === Reason.DRAINING
}

function withRemainingTime(spec: JobSpec, remainingMs: number, traceparent: string): JobSpec {
  const { caller, submissionKey, idempotent, tasks } = spec
  // 0 would mean that no deadline was given.
  const deadlineInMs = Math.max(1, remainingMs)
  return create(JobSpecSchema, {
    caller,
    submissionKey,
    idempotent,
    tasks,
    traceparent,
    deadlineInMs,
  })
}
