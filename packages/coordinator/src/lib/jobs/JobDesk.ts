import { deriveTraceparent, formatJobId, rootTraceparent } from '@cherryhitch/model'
import type { AdmissionDecision } from '@cherryhitch/policy'
import type { JobSpec } from '@cherryhitch/protocol'
import { Reason } from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import type { Routes, TaskPlacement } from '../placement/TaskPlacement'
import { routedTask } from '../placement/TaskPlacement'
import { DueKind } from '../timers/DueItem'
import { Job } from './Job'
import type { JobEnding } from './JobEnding'
import type { JobProblem } from './jobAnswers'
import { problem } from './jobAnswers'

const NO_ENDPOINT_RETRY_MS = 1000
const DRAINING_RETRY_MS = 100
/** Weights of callers are not settable yet: all count the same. */
const EVEN_WEIGHT = 1

/** Takes jobs in: gives them their id, admits or refuses them, and starts them. @internal */
export class JobDesk {
  private lastSequence = 0
  draining = false

  constructor(
    private readonly context: CoordinatorContext,
    private readonly placement: TaskPlacement,
    private readonly ending: JobEnding,
  ) {}

  /** Makes a job out of what a caller sent. It is not in the book yet. */
  open(now: number, spec: JobSpec, respondAsync: boolean, contentHash: string): Job {
    const { options, timing, policies } = this.context
    const sequence = ++this.lastSequence
    const id = formatJobId({ coordinator: options.instance, boot: options.boot, sequence })
    const wantedMs = spec.deadlineInMs === 0 ? timing.defaultDeadlineMs : spec.deadlineInMs
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
      deadlineAt: now + Math.min(wantedMs, timing.maxDeadlineMs),
      respondAsync,
      estimatesMs,
      contentHash,
      traceparent: ownTraceparent(spec.traceparent, id),
    })
  }

  /** @returns why the job is refused, or undefined when it is admitted */
  refusal(now: number, job: Job): JobProblem | undefined {
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
  enter(now: number, job: Job): void {
    this.context.jobs.add(job)
    this.context.policies.retries.noteFresh(now, job.tasks.length)
    this.context.due.schedule(job.deadlineAt, { kind: DueKind.Deadline, sequence: job.sequence })
  }

  /** @returns undefined when some task of the job has no owner now */
  route(now: number, job: Job): Routes | undefined {
    return this.placement.route(now, job, job.tasks)
  }

  /** Places all tasks of a job, or refuses it as a whole. */
  start(now: number, job: Job): boolean {
    const routes = this.route(now, job)
    if (routes === undefined) {
      const detail = 'No endpoint of a service that the job needs is known now.'
      this.ending.refuse(now, job, problem(Reason.NO_ENDPOINT, detail, NO_ENDPOINT_RETRY_MS))
      return false
    }
    this.placement.send(now, job, routes)
    return true
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
    const { jobs, members, policies } = this.context
    const ownTasks = jobs.tasksOf(job.caller)
    return policies.admission.decide(now, {
      caller: job.caller,
      tasks: job.tasks.map(routedTask),
      deadlineAt: job.deadlineAt,
      offers: members.offers(now),
      jobsInFlight: jobs.size,
      callerTasksInFlight: ownTasks,
      tasksInFlight: jobs.tasksInFlight,
      activeCallers: jobs.activeCallers + (ownTasks === 0 ? 1 : 0),
      callerWeight: EVEN_WEIGHT,
      instances: Math.max(1, members.serving.length),
    })
  }
}

function ownTraceparent(parent: string, jobId: string): string {
  return parent === '' ? rootTraceparent(jobId) : deriveTraceparent(parent, jobId)
}
