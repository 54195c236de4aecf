import { create } from '@bufbuild/protobuf'
import { parseJobId } from '@cherryhitch/model'
import type { JobIdParts } from '@cherryhitch/model'
import type { JobAnswer } from '@cherryhitch/protocol'
import { JobAnswerSchema, JobQuerySchema, JobState, Outcome, Reason } from '@cherryhitch/protocol'
import type { AnswerRecorder } from '../answers/AnswerRecorder'
import type { CoordinatorContext } from '../CoordinatorContext'
import type { JobEnding } from '../jobs/JobEnding'
import type { JobProblem } from '../jobs/jobAnswers'
import { problem, runningAnswer, unknownAnswer } from '../jobs/jobAnswers'
import type { Waiter } from '../jobs/Waiter'
import type { ClaimHandler } from '../keys/ClaimHandler'
import type { RequestForwarder } from './RequestForwarder'
import { ForwardFailure } from './RequestForwarder'

const UNREACHABLE_RETRY_MS = 1000

const cancelled = problem(Reason.CANCELLED, 'The caller cancelled the job.')
const coordinatorLost = problem(
  Reason.COORDINATOR_LOST,
  'The process that coordinated the job is gone.',
)
const unreachable: JobProblem = problem(
  Reason.COORDINATOR_LOST,
  'The coordinator of the job does not answer now; the job may still end.',
  UNREACHABLE_RETRY_MS,
)

/** A query about a job, from a local caller or forwarded by another instance. @internal */
export interface QueryRequest {
  readonly jobId: string
  readonly caller: string
  readonly cancel: boolean
  readonly wait: boolean
  readonly waiter: Waiter
}

/** Answers job queries; a job's id names the instance and boot that coordinate it. @internal */
export class QueryHandler {
  constructor(
    private readonly context: CoordinatorContext,
    private readonly ending: JobEnding,
    private readonly claims: ClaimHandler,
    private readonly forwarder: RequestForwarder,
    private readonly answerRecorder: AnswerRecorder,
  ) {}

  /** Handles a query from a caller of this instance. */
  handleLocal(now: number, request: QueryRequest): void {
    const id = parseJobId(request.jobId)
    if (id === undefined) this.context.replies.send(request.waiter, undefined)
    else if (id.coordinator === this.context.options.instance) this.answerLocalJob(now, request, id)
    else this.forwardQuery(now, request, id)
  }

  /** Handles a query that another instance forwarded; answers only for jobs of this instance. */
  handleForwarded(now: number, request: QueryRequest): void {
    const id = parseJobId(request.jobId)
    if (id?.coordinator === this.context.options.instance) this.answerLocalJob(now, request, id)
    else this.context.replies.send(request.waiter, undefined)
  }

  private answerLocalJob(now: number, request: QueryRequest, id: JobIdParts): void {
    const { options, jobs, replies, policies } = this.context
    const { waiter, caller } = request
    if (id.boot !== options.boot) {
      const isEarlierBoot = id.boot < options.boot
      const lost = unknownAnswer(request.jobId, coordinatorLost, policies)
      replies.send(waiter, isEarlierBoot ? lost : undefined)
      return
    }
    const job = jobs.get(id.sequence)
    if (job === undefined) {
      replies.send(waiter, this.findStoredAnswer(now, request))
      return
    }
    // Jobs of other callers are answered as unknown, so that guessing ids reveals nothing.
    if (job.caller !== caller) replies.send(waiter, undefined)
    else if (request.cancel) {
      replies.attach(job, waiter)
      this.ending.cancel(now, job, cancelled)
    } else if (request.wait) replies.attach(job, waiter)
    else replies.send(waiter, runningAnswer(job, policies))
  }

  private findStoredAnswer(now: number, { jobId, caller }: QueryRequest): JobAnswer | undefined {
    const stored = this.context.answers.get(now, jobId)
    if (stored?.caller === caller) {
      this.answerRecorder.markRead(jobId)
      return stored.answer
    }
    return this.claims.abandonedAnswer(jobId, caller)
  }

  private forwardQuery(now: number, request: QueryRequest, id: JobIdParts): void {
    const { members, policies, replies, timing } = this.context
    const { waiter, jobId, caller, cancel, wait } = request
    const target = id.coordinator
    if (members.get(target) === undefined) {
      replies.send(waiter, undefined)
      return
    }
    if (id.boot < members.bootOf(target)) {
      replies.send(waiter, unknownAnswer(jobId, coordinatorLost, policies))
      return
    }
    if (!members.isAlive(target)) {
      replies.send(waiter, this.unreachableAnswer(jobId))
      return
    }
    const forwardId = this.forwarder.forward(now, {
      target,
      body: (_at, requestId) => ({
        case: 'jobQuery',
        value: create(JobQuerySchema, { requestId, jobId, caller, cancel, wait }),
      }),
      expiresAt: now + (wait && !cancel ? timing.maxDeadlineMs : timing.forwardTimeoutMs),
      resendMs: timing.forwardTimeoutMs / 2,
      onAnswer: (_at, answer) => {
        replies.send(waiter, answer)
      },
      onFailure: (_at, failure) => {
        const isRestarted =
          failure === ForwardFailure.TargetGone && id.boot < members.bootOf(target)
        const lost = unknownAnswer(jobId, coordinatorLost, policies)
        replies.send(waiter, isRestarted ? lost : this.unreachableAnswer(jobId))
      },
    })
    replies.attachForward(waiter, forwardId)
  }

  /** Answer with an unspecified state: the job may still be running, or may have ended. */
  private unreachableAnswer(jobId: string): JobAnswer {
    const { version, current } = this.context.policies
    return create(JobAnswerSchema, {
      jobId,
      state: JobState.UNSPECIFIED,
      outcome: Outcome.UNKNOWN,
      ...unreachable,
      settingsVersion: version,
      settingsCurrent: current,
    })
  }
}
