import { deriveTraceparent, formatJobId, rootTraceparent } from '@cherryhitch/model'
import type { AdmissionDecision } from '@cherryhitch/policy'
import type { JobSpec } from '@cherryhitch/protocol'
import { Reason } from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import type { TaskPlacer } from '../placement/TaskPlacer'
import { routedTask } from '../placement/TaskPlacer'
import { TimerKind } from '../timers/CoordinatorTimer'
import { Job } from './Job'
import type { JobEnding } from './JobEnding'
import type { JobProblem } from './jobAnswers'
import { problem, refusedAnswer, runningAnswer } from './jobAnswers'
import { relativeWeight } from './relativeWeight'
import type { Waiter } from './Waiter'

const NO_ENDPOINT_RETRY_MS = 1000
const DRAINING_RETRY_MS = 100
/** With no weights set, all callers have the same weight. */
const NO_WEIGHTS: ReadonlyMap<string, number> = new Map()

/** A job submitted to this instance, or forwarded by another one. @internal */
export interface SubmitRequest {
  readonly spec: JobSpec
  readonly respondAsync: boolean
  readonly waiter: Waiter
  readonly isForwarded: boolean
}

/** Accepts submitted jobs: assigns ids, admits or refuses them, and starts them. @internal */
export class SubmissionHandler {
  private lastSequence = 0
  draining = false

  constructor(
    private readonly context: CoordinatorContext,
    private readonly placer: TaskPlacer,
    private readonly ending: JobEnding,
  ) {}

  /** Handles a job without a submission key. */
  submit(now: number, request: SubmitRequest): void {
    const job = this.admit(now, request, '')
    if (job !== undefined) this.start(now, job)
  }

  /** @returns the job, or undefined when it was refused */
  admit(now: number, request: SubmitRequest, contentHash: string): Job | undefined {
    const job = this.createJob(now, request, contentHash)
    const why = this.findRefusal(now, job)
    if (why !== undefined) {
      this.refuse(request, job.id, why)
      return undefined
    }
    this.register(now, job)
    this.context.replies.attach(job, request.waiter)
    return job
  }

  /** Refuses a submission without creating a job for it. */
  refuseUnopened(request: SubmitRequest, why: JobProblem): void {
    this.refuse(request, this.nextId().id, why)
  }

  /** Time from the arrival of a job to its deadline. */
  deadlineInMs(spec: JobSpec): number {
    const { defaultDeadlineMs, maxDeadlineMs } = this.context.timing
    const requestedMs = spec.deadlineInMs === 0 ? defaultDeadlineMs : spec.deadlineInMs
    return Math.min(requestedMs, maxDeadlineMs)
  }

  private refuse({ spec, waiter }: SubmitRequest, jobId: string, why: JobProblem): void {
    const { counters, policies, replies } = this.context
    counters.refused++
    replies.send(waiter, refusedAnswer(jobId, spec.tasks.length, why, policies))
  }

  private nextId(): { id: string; sequence: number } {
    const { instance, boot } = this.context.options
    const sequence = ++this.lastSequence
    return { id: formatJobId({ coordinator: instance, boot, sequence }), sequence }
  }

  /** Creates a job from a submission. It is not registered yet. */
  private createJob(now: number, request: SubmitRequest, contentHash: string): Job {
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
      traceparent: jobTraceparent(spec.traceparent, id),
    })
  }

  /** @returns why the job is refused, or undefined when it is admitted */
  private findRefusal(now: number, job: Job): JobProblem | undefined {
    if (this.draining) {
      const detail = 'This instance is draining; another one takes the job.'
      return problem(Reason.DRAINING, detail, DRAINING_RETRY_MS)
    }
    const invalid = this.validate(now, job)
    if (invalid !== undefined) return invalid
    const decision = this.decideAdmission(now, job)
    return decision.admitted
      ? undefined
      : problem(decision.reason, decision.detail, decision.retryAfterMs)
  }

  /** Registers an admitted job and schedules its deadline. */
  private register(now: number, job: Job): void {
    this.context.jobs.add(job)
    this.context.policies.retryBudget.recordNewTasks(now, job.tasks.length)
    this.context.timers.schedule(job.deadlineAt, {
      kind: TimerKind.Deadline,
      sequence: job.sequence,
    })
  }

  /** Places all tasks of a job, or refuses it as a whole. */
  start(now: number, job: Job): void {
    const routes = this.placer.route(now, job, job.tasks)
    if (routes === undefined) {
      const detail = 'No endpoint of a service that the job needs is known now.'
      this.ending.refuse(now, job, problem(Reason.NO_ENDPOINT, detail, NO_ENDPOINT_RETRY_MS))
      return
    }
    this.placer.send(now, job, routes)
    this.context.replies.answerAsync(job, runningAnswer(job, this.context.policies))
  }

  private validate(now: number, job: Job): JobProblem | undefined {
    const { tasksPerJob } = this.context.limits
    if (job.tasks.length === 0) return problem(Reason.NEVER_FITS, 'A job needs at least one task.')
    if (job.tasks.length > tasksPerJob) {
      return problem(Reason.NEVER_FITS, `A job may have at most ${tasksPerJob} tasks.`)
    }
    if (job.deadlineAt > now) return undefined
    return problem(Reason.DEADLINE_PASSED, 'The deadline had passed when the job arrived.')
  }

  private decideAdmission(now: number, job: Job): AdmissionDecision {
    const { jobs, members, policies, options } = this.context
    const callerTasks = jobs.tasksOf(job.caller)
    return policies.admission.decide(now, {
      caller: job.caller,
      tasks: job.tasks.map(routedTask),
      deadlineAt: job.deadlineAt,
      offers: members.offers,
      jobsInFlight: jobs.size,
      callerTasksInFlight: callerTasks,
      tasksInFlight: jobs.tasksInFlight,
      activeCallers: jobs.activeCallers + (callerTasks === 0 ? 1 : 0),
      callerWeight: relativeWeight(job.caller, jobs.callers(), options.callerWeights ?? NO_WEIGHTS),
      instances: Math.max(1, members.serving.length),
    })
  }
}

function jobTraceparent(parent: string, jobId: string): string {
  return parent === '' ? rootTraceparent(jobId) : deriveTraceparent(parent, jobId)
}
