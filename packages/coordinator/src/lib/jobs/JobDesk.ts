import { deriveTraceparent, formatJobId, rootTraceparent } from '@cherryhitch/model'
import type { AdmissionDecision } from '@cherryhitch/policy'
import type { JobSpec } from '@cherryhitch/protocol'
import { Reason } from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import type { TaskPlacement } from '../placement/TaskPlacement'
import { routedTask } from '../placement/TaskPlacement'
import { DueKind } from '../timers/DueItem'
import { Job } from './Job'
import type { JobEnding } from './JobEnding'
import type { JobProblem } from './jobAnswers'
import { problem, refusedAnswer, runningAnswer } from './jobAnswers'
import { relativeWeight } from './relativeWeight'
import type { Waiter } from './Waiter'

const NO_ENDPOINT_RETRY_MS = 1000
const DRAINING_RETRY_MS = 100
/** Without any, all callers weigh the same. */
const NO_WEIGHTS: ReadonlyMap<string, number> = new Map()

/** A job as it was submitted, here or at the instance that sent it on. @internal */
export interface SubmitRequest {
  readonly spec: JobSpec
  readonly respondAsync: boolean
  readonly waiter: Waiter
  readonly isForwarded: boolean
}

/** Takes jobs in: gives them their id, admits or refuses them, and starts them. @internal */
export class JobDesk {
  private lastSequence = 0
  draining = false

  constructor(
    private readonly context: CoordinatorContext,
    private readonly placement: TaskPlacement,
    private readonly ending: JobEnding,
  ) {}

  /** Takes a job without a key. */
  submit(now: number, request: SubmitRequest): void {
    const job = this.admit(now, request, '')
    if (job !== undefined) this.start(now, job)
  }

  /** @returns the job, or undefined when it was refused */
  admit(now: number, request: SubmitRequest, contentHash: string): Job | undefined {
    const job = this.open(now, request, contentHash)
    const why = this.refusal(now, job)
    if (why !== undefined) {
      this.refuse(request, job.id, why)
      return undefined
    }
    this.enter(now, job)
    this.context.replies.attach(job, request.waiter)
    return job
  }

  /** Refuses a submission that is not made a job. */
  refuseUnopened(request: SubmitRequest, why: JobProblem): void {
    this.refuse(request, this.nextId().id, why)
  }

  /** Time until the deadline of a job that arrives now. */
  deadlineInMs(spec: JobSpec): number {
    const { defaultDeadlineMs, maxDeadlineMs } = this.context.timing
    const wantedMs = spec.deadlineInMs === 0 ? defaultDeadlineMs : spec.deadlineInMs
    return Math.min(wantedMs, maxDeadlineMs)
  }

  private refuse({ spec, waiter }: SubmitRequest, jobId: string, why: JobProblem): void {
    const { counters, policies, replies } = this.context
    counters.refused++
    replies.give(waiter, refusedAnswer(jobId, spec.tasks.length, why, policies))
  }

  private nextId(): { id: string; sequence: number } {
    const { instance, boot } = this.context.options
    const sequence = ++this.lastSequence
    return { id: formatJobId({ coordinator: instance, boot, sequence }), sequence }
  }

  /** Makes a job out of what a caller sent. It is not in the book yet. */
  private open(now: number, request: SubmitRequest, contentHash: string): Job {
    const { policies } = this.context
    const { spec, respondAsync } = request
    const { id, sequence } = this.nextId()
    const estimatesMs = spec.tasks.map((task) =>
      policies.estimator.estimate({
        caller: spec.caller,
        service: task.service,
        declaredMs: task.expectedRunMs,
      }),
    )
    return new Job({
      id,
      sequence,
      spec,
      startedAt: now,
      deadlineAt: now + this.deadlineInMs(spec),
      respondAsync,
      estimatesMs,
      contentHash,
      traceparent: ownTraceparent(spec.traceparent, id),
    })
  }

  /** @returns why the job is refused, or undefined when it is admitted */
  private refusal(now: number, job: Job): JobProblem | undefined {
    if (this.draining) {
      const detail = 'This instance is draining; another one takes the job.'
      return problem(Reason.DRAINING, detail, DRAINING_RETRY_MS)
    }
    const malformed = this.malformed(now, job)
    if (malformed !== undefined) return malformed
    const decision = this.decide(now, job)
    return decision.admitted
      ? undefined
      : problem(decision.reason, decision.detail, decision.retryAfterMs)
  }

  /** Enters an admitted job into the book; from here on it has a deadline. */
  private enter(now: number, job: Job): void {
    this.context.jobs.add(job)
    this.context.policies.retries.noteFresh(now, job.tasks.length)
    this.context.due.schedule(job.deadlineAt, { kind: DueKind.Deadline, sequence: job.sequence })
  }

  /** Places all tasks of a job, or refuses it as a whole. */
  start(now: number, job: Job): void {
    const routes = this.placement.route(now, job, job.tasks)
    if (routes === undefined) {
      const detail = 'No endpoint of a service that the job needs is known now.'
      this.ending.refuse(now, job, problem(Reason.NO_ENDPOINT, detail, NO_ENDPOINT_RETRY_MS))
      return
    }
    this.placement.send(now, job, routes)
    this.context.replies.answerAsync(job, runningAnswer(job, this.context.policies))
  }

  private malformed(now: number, job: Job): JobProblem | undefined {
    const { tasksPerJob } = this.context.limits
    if (job.tasks.length === 0) return problem(Reason.NEVER_FITS, 'A job needs at least one task.')
    if (job.tasks.length > tasksPerJob) {
      return problem(Reason.NEVER_FITS, `A job may have at most ${tasksPerJob} tasks.`)
    }
    if (job.deadlineAt > now) return undefined
    return problem(Reason.DEADLINE_PASSED, 'The deadline had passed when the job arrived.')
  }

  private decide(now: number, job: Job): AdmissionDecision {
    const { jobs, members, policies, options } = this.context
    const ownTasks = jobs.tasksOf(job.caller)
    return policies.admission.decide(now, {
      caller: job.caller,
      tasks: job.tasks.map(routedTask),
      deadlineAt: job.deadlineAt,
      offers: members.offers,
      jobsInFlight: jobs.size,
      callerTasksInFlight: ownTasks,
      tasksInFlight: jobs.tasksInFlight,
      activeCallers: jobs.activeCallers + (ownTasks === 0 ? 1 : 0),
      callerWeight: relativeWeight(job.caller, jobs.callers(), options.callerWeights ?? NO_WEIGHTS),
      instances: Math.max(1, members.serving.length),
    })
  }
}

function ownTraceparent(parent: string, jobId: string): string {
  return parent === '' ? rootTraceparent(jobId) : deriveTraceparent(parent, jobId)
}
