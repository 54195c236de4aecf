import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { parseJobId } from '@cherryhitch/model'
import type { ClaimAnswer, JobAnswer } from '@cherryhitch/protocol'
import {
  ClaimEndSchema,
  ClaimState,
  ClaimVerdict,
  JobAnswerSchema,
  JobQuerySchema,
  KeyClaimSchema,
  Outcome,
  Reason,
} from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import type { RequestForwarder } from '../forwarding/RequestForwarder'
import type { Job } from '../jobs/Job'
import { JobPhase } from '../jobs/Job'
import { problem, runningAnswer } from '../jobs/jobAnswers'
import type { SubmissionHandler } from '../jobs/SubmissionHandler'
import type { JobEnding } from '../jobs/JobEnding'

const QUORUM_RETRY_MS = 1000
const EMPTY_ANSWER = new Uint8Array(0)

const noQuorum = problem(
  Reason.NO_QUORUM,
  'The key could not be claimed, because the voters can not be reached; the job did not run.',
  QUORUM_RETRY_MS,
)
const claimsFull = problem(
  Reason.QUEUE_FULL,
  'The bound on kept submission keys is reached; the job did not run.',
  QUORUM_RETRY_MS,
)
const keyReused = problem(
  Reason.KEY_REUSED,
  'The submission key was used before with other content; this submission did not run.',
)
const outcomeUnknown = problem(
  Reason.KEY_OUTCOME_UNKNOWN,
  'A job with this key may have run at a coordinator that is lost; it is not run again.',
)

/** A job that ended before its claim was answered. @internal */
export interface AbandonedClaim {
  readonly caller: string
  readonly submissionKey: string
  readonly answer: JobAnswer
}

/**
 * Claims the submission keys of non-idempotent jobs from the voters' quorum. A job is dispatched
 * only after its claim was granted, and only once.
 *
 * @internal
 */
export class ClaimHandler {
  private readonly abandoned = new Map<string, AbandonedClaim>()

  constructor(
    private readonly context: CoordinatorContext,
    private readonly submissions: SubmissionHandler,
    private readonly ending: JobEnding,
    private readonly forwarder: RequestForwarder,
  ) {
    ending.listen((now, job, answer, phaseBefore) => {
      this.onJobEnded(now, job, answer, phaseBefore)
    })
  }

  requestClaim(now: number, job: Job): void {
    job.phase = JobPhase.Claiming
    this.context.outbox.claim(
      create(KeyClaimSchema, {
        caller: job.caller,
        submissionKey: job.spec.submissionKey,
        jobId: job.id,
        contentHash: job.contentHash,
        atMs: now,
      }),
    )
  }

  /** The answer to a job that ended before its claim was answered, and so did not run. */
  abandonedAnswer(jobId: string, caller: string): JobAnswer | undefined {
    const claim = this.abandoned.get(jobId)
    return claim?.caller === caller ? claim.answer : undefined
  }

  handleClaimAnswer(
    now: number,
    jobId: string,
    answer: ClaimAnswer | undefined,
    mayBeClaimed: boolean,
  ): void {
    const job = this.findClaimingJob(jobId)
    if (job === undefined) {
      this.resolveAbandoned(now, jobId, answer, mayBeClaimed)
      return
    }
    if (answer !== undefined) {
      this.applyVerdict(now, job, answer)
      return
    }
    this.ending.refuse(now, job, noQuorum)
    this.resolveAbandoned(now, jobId, undefined, mayBeClaimed)
  }

  private findClaimingJob(jobId: string): Job | undefined {
    const id = parseJobId(jobId)
    const { options, jobs } = this.context
    if (id?.coordinator !== options.instance || id.boot !== options.boot) return undefined
    const job = jobs.get(id.sequence)
    return job?.phase === JobPhase.Claiming ? job : undefined
  }

  private applyVerdict(now: number, job: Job, answer: ClaimAnswer): void {
    switch (answer.verdict) {
      case ClaimVerdict.GRANTED:
        this.dispatch(now, job)
        return
      case ClaimVerdict.HELD:
        this.joinHolder(now, job, answer)
        return
      case ClaimVerdict.MISMATCH:
        this.ending.refuse(now, job, keyReused)
        this.abandoned.delete(job.id)
        return
      case ClaimVerdict.FULL:
        this.ending.refuse(now, job, claimsFull)
        this.abandoned.delete(job.id)
        return
      case ClaimVerdict.UNSPECIFIED:
      default:
        // An unknown verdict may mean that the claim was committed. Releasing the key ensures that
        // the refused job stays not run.
        this.ending.refuse(now, job, noQuorum)
        this.resolveAbandoned(now, job.id, undefined, true)
    }
  }

  private dispatch(now: number, job: Job): void {
    job.phase = JobPhase.Running
    job.claimed = true
    this.submissions.start(now, job)
  }

  /** Another job holds the key, so this job ends with that job's answer. */
  private joinHolder(now: number, job: Job, answer: ClaimAnswer): void {
    if (answer.state === ClaimState.UNSPECIFIED) {
      this.ending.refuse(now, job, noQuorum)
      this.abandoned.delete(job.id)
      return
    }
    this.context.counters.keyHits++
    job.phase = JobPhase.Joining
    if (answer.state === ClaimState.ENDED) {
      this.endWithStoredAnswer(now, job, answer.answer)
      return
    }
    const holder = parseJobId(answer.jobId)
    const { options, members } = this.context
    if (holder === undefined || !members.isAliveInBoot(holder.coordinator, holder.boot)) {
      this.ending.fail(now, job, outcomeUnknown)
    } else if (holder.coordinator === options.instance) {
      this.joinLocal(now, job, answer.jobId, holder.sequence)
    } else this.joinRemote(now, job, answer.jobId, holder.coordinator)
  }

  private endWithStoredAnswer(now: number, job: Job, bytes: Uint8Array): void {
    const stored = decodeAnswer(bytes)
    if (stored === undefined) this.ending.fail(now, job, outcomeUnknown)
    else this.ending.endWith(now, job, stored)
  }

  private joinLocal(now: number, job: Job, holderId: string, sequence: number): void {
    const { jobs, answers, replies, policies } = this.context
    const holder = jobs.get(sequence)
    if (holder !== undefined && holder !== job) {
      job.joinedId = holderId
      replies.answerAsync(job, runningAnswer(job, policies))
      replies.move(job, holder)
      this.ending.discard(job)
      return
    }
    const stored = answers.get(now, holderId)?.answer ?? this.abandonedAnswer(holderId, job.caller)
    if (stored === undefined) this.ending.fail(now, job, outcomeUnknown)
    else this.ending.endWith(now, job, stored)
  }

  private joinRemote(now: number, job: Job, holderId: string, target: string): void {
    const { timing, jobs, replies, policies } = this.context
    const { sequence, caller } = job
    job.joinedId = holderId
    replies.answerAsync(job, runningAnswer(job, policies))
    if (job.waiters.length === 0) {
      this.ending.discard(job)
      return
    }
    const finish = (at: number, answer: JobAnswer | undefined): void => {
      // The job may have ended in the meantime, for example at its deadline.
      if (jobs.get(sequence) !== job) return
      if (answer === undefined) this.ending.fail(at, job, outcomeUnknown)
      else this.ending.endWith(at, job, answer)
    }
    this.forwarder.forward(now, {
      target,
      body: (_at, requestId) => ({
        case: 'jobQuery',
        value: create(JobQuerySchema, { requestId, jobId: holderId, caller, wait: true }),
      }),
      expiresAt: job.deadlineAt,
      resendMs: timing.forwardTimeoutMs,
      onAnswer: finish,
      onFailure: (at) => {
        finish(at, undefined)
      },
    })
  }

  private onJobEnded(now: number, job: Job, answer: JobAnswer, phaseBefore: JobPhase): void {
    if (phaseBefore === JobPhase.Claiming) this.rememberAbandoned(job, answer)
    if (!job.claimed) return
    // A job that did not run releases its key, so that a resend can run.
    const didNotRun = answer.outcome === Outcome.NOT_RUN
    const bytes = didNotRun ? EMPTY_ANSWER : toBinary(JobAnswerSchema, answer)
    this.endClaim(now, job.id, job.caller, job.spec.submissionKey, bytes)
  }

  private rememberAbandoned(job: Job, answer: JobAnswer): void {
    const { caller, spec } = job
    this.abandoned.set(job.id, { caller, submissionKey: spec.submissionKey, answer })
    for (const oldest of this.abandoned.keys()) {
      if (this.abandoned.size <= this.context.limits.abandonedClaims) return
      this.abandoned.delete(oldest)
    }
  }

  /**
   * Releases the key of an abandoned job if its claim was committed or may still be. A release that
   * precedes the claim in the log also keeps that claim from taking effect.
   */
  private resolveAbandoned(
    now: number,
    jobId: string,
    answer: ClaimAnswer | undefined,
    mayBeClaimed: boolean,
  ): void {
    const claim = this.abandoned.get(jobId)
    if (claim === undefined) return
    const isGranted = answer?.verdict === ClaimVerdict.GRANTED
    if (isGranted || (answer === undefined && mayBeClaimed)) {
      this.endClaim(now, jobId, claim.caller, claim.submissionKey, EMPTY_ANSWER)
      return
    }
    this.abandoned.delete(jobId)
  }

  private endClaim(
    now: number,
    jobId: string,
    caller: string,
    submissionKey: string,
    answer: Uint8Array,
  ): void {
    const end = create(ClaimEndSchema, { caller, submissionKey, jobId, answer, atMs: now })
    this.context.outbox.endClaim(end)
  }
}

function decodeAnswer(bytes: Uint8Array): JobAnswer | undefined {
  try {
    return fromBinary(JobAnswerSchema, bytes)
  } catch {
    return undefined
  }
}
