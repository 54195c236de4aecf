import { create } from '@bufbuild/protobuf'
import { deriveTraceparent, parseTraceparent } from '@cherryhitch/model'
import { pickOwner } from '@cherryhitch/policy'
import type { JobAnswer, JobSpec } from '@cherryhitch/protocol'
import { ForwardJobSchema, JobSpecSchema, JobState, Outcome, Reason } from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import type { Forwarding } from '../forwarding/Forwarding'
import { ForwardLoss } from '../forwarding/Forwarding'
import type { Job } from '../jobs/Job'
import { JobPhase } from '../jobs/Job'
import { problem, runningAnswer, unknownAnswer } from '../jobs/jobAnswers'
import type { JobProblem } from '../jobs/jobAnswers'
import type { JobDesk, SubmitRequest } from '../jobs/JobDesk'
import type { ClaimDesk } from './ClaimDesk'
import { contentHash } from './contentHash'
import type { KeyEntry } from './KeyBook'
import { formatKeyId, mayReuseAnswer } from './KeyBook'

/** The coordinator of a forwarded job answers at the deadline itself; this is for the way back. */
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

/** Takes jobs with a submission key: a resend joins the first one or gets its answer. @internal */
export class KeyedJobHandler {
  constructor(
    private readonly context: CoordinatorContext,
    private readonly jobIntake: JobDesk,
    private readonly claims: ClaimDesk,
    private readonly forwarding: Forwarding,
  ) {}

  submit(now: number, request: SubmitRequest): void {
    const { spec } = request
    const hash = contentHash(spec)
    const entry = this.context.keys.get(formatKeyId(spec.caller, spec.submissionKey))
    if (entry !== undefined && this.answerFromEntry(now, request, entry, hash)) return
    if (spec.idempotent && !this.jobIntake.draining && this.forwardToPickedCoordinator(now, request, [])) return
    this.admitLocally(now, request, hash)
  }

  /** Takes the job on here. */
  private admitLocally(now: number, request: SubmitRequest, hash: string): void {
    const { spec } = request
    const job = this.jobIntake.admit(now, request, hash)
    if (job === undefined) return
    this.context.keys.put(formatKeyId(spec.caller, spec.submissionKey), {
      jobId: job.id,
      sequence: job.sequence,
      contentHash: hash,
      isRunning: true,
      answersAnyResend: false,
      answeredWaiters: [],
    })
    if (spec.idempotent) this.jobIntake.start(now, job)
    else this.claims.requestClaim(now, job)
  }

  /** @returns false when the job has to run anew */
  private answerFromEntry(now: number, request: SubmitRequest, entry: KeyEntry, hash: string): boolean {
    const { answers, jobs, replies } = this.context
    if (!entry.isRunning && !mayReuseAnswer(entry, request.waiter)) return false
    const job = jobs.get(entry.sequence)
    const kept = answers.get(now, entry.jobId)
    if (job === undefined && kept === undefined) return false
    if (entry.contentHash !== hash) {
      this.jobIntake.refuseUnopened(request, keyReused)
      return true
    }
    this.context.counters.keyHits++
    if (job !== undefined) this.join(job, request)
    else replies.give(request.waiter, kept?.answer)
    return true
  }

  private join(job: Job, { waiter }: SubmitRequest): void {
    const { replies, policies } = this.context
    replies.attach(job, waiter)
    // While the claim is not answered it is not known under which id the job is found.
    if (job.phase === JobPhase.Claiming) return
    replies.answerAsync(job, runningAnswer(job, policies))
  }

  /**
   * Sends an idempotent job on to the coordinator that rendezvous hashing picks for its key, so
   * that a resend through any instance finds the first one.
   *
   * @returns false when the job belongs here
   */
  private forwardToPickedCoordinator(now: number, request: SubmitRequest, excluded: readonly string[]): boolean {
    const { spec, waiter, isForwarded } = request
    const { members, options, replies } = this.context
    // A job is sent on once: two instances that disagree would send it back and forth.
    if (isForwarded) return false
    const candidates = members.serving.filter((name) => !excluded.includes(name))
    const target = pickOwner(formatKeyId(spec.caller, spec.submissionKey), candidates)
    if (target === undefined || target === options.instance) return false
    const deadlineAt = now + this.jobIntake.deadlineInMs(spec)
    const traceparent = deriveTraceparent(
      spec.traceparent,
      `${options.instance}/${options.boot}/${now}/${waiter.requestId}`,
    )
    const giveUp = (at: number, why: JobProblem): void => {
      this.recordForwardSpan(now, at, spec, traceparent, target, false)
      replies.give(waiter, unknownAnswer('', why, this.context.policies))
    }
    const forwardId = this.forwarding.ask(now, {
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
          giveUp(at, targetGone)
          return
        }
        if (isDrainingRefusal(answer)) {
          const rest = { ...request, spec: withRemainingTime(spec, deadlineAt - at, spec.traceparent) }
          this.forwardToNextCoordinator(at, rest, [...excluded, target])
          return
        }
        this.recordForwardSpan(now, at, spec, traceparent, target, answer.state === JobState.SUCCEEDED)
        replies.give(waiter, answer)
      },
      onLost: (at, loss) => {
        giveUp(at, loss === ForwardLoss.TargetGone ? targetGone : timedOut)
      },
    })
    replies.attachForward(waiter, forwardId)
    return true
  }

  /** The chosen coordinator drains and said truthfully that it did not run the job. */
  private forwardToNextCoordinator(now: number, request: SubmitRequest, excluded: readonly string[]): void {
    if (this.forwardToPickedCoordinator(now, request, excluded)) return
    this.admitLocally(now, request, contentHash(request.spec))
  }

  private forwardExpiry(now: number, { respondAsync }: SubmitRequest, deadlineAt: number): number {
    if (!respondAsync) return deadlineAt + FORWARD_REPLY_MARGIN_MS
    return Math.min(deadlineAt, now + 2 * this.context.timing.forwardTimeoutMs)
  }

  private recordForwardSpan(
    startMs: number,
    endMs: number,
    spec: JobSpec,
    traceparent: string,
    target: string,
    ok: boolean,
  ): void {
    const own = parseTraceparent(traceparent)
    this.context.outbox.span({
      name: 'coordinator.forward',
      traceId: own?.traceId ?? '',
      spanId: own?.spanId ?? '',
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

function withRemainingTime(spec: JobSpec, leftMs: number, traceparent: string): JobSpec {
  const { caller, submissionKey, idempotent, tasks } = spec
  // 0 would mean "none given".
  const deadlineInMs = Math.max(1, leftMs)
  return create(JobSpecSchema, {
    caller,
    submissionKey,
    idempotent,
    tasks,
    traceparent,
    deadlineInMs,
  })
}
