import { Reason } from '@cherryhitch/protocol'
import { Admission } from './Admission'
import type { AdmissionDecision, AdmissionRequest } from './Admission'
import { couldEverRun, IDLE_SHARE } from './describeService'
import type { ServiceCapacity } from './describeService'
import { JobDemand } from './JobDemand'
import { RetryAfterPacer } from './RetryAfterPacer'
import { LeadTimeHistogram } from './LeadTimeHistogram'

/** @public */
export interface PredictedFinishAdmissionOptions {
  readonly jobsInFlight: number
  readonly queuedTasksPerSlot: number
  /** Share of the task capacity that one caller may use under contention, 0 to 1. */
  readonly callerQueueShare: number
  /** Whether owners serve by due time, so that small or urgent jobs wait for less of the queue. */
  readonly byDueTime: boolean
  /** Factor by which predicted waits are multiplied. */
  readonly waitSafetyFactor: number
  /** Share of the task capacity that is reserved for callers below their fair share, 0 to 1. */
  readonly reservedShare: number
  /** Share of the task capacity in use above which the callers' shares are enforced, 0 to 1. */
  readonly contentionThreshold: number
  /** Whether retry times are spread out at the rate of the service. */
  readonly paceRetries: boolean
}

/**
 * See `docs/design/admission.md` for the measurements behind the defaults. A preset overrides the
 * first four.
 *
 * @public
 */
export const defaultPredictedFinishAdmissionOptions: PredictedFinishAdmissionOptions = {
  jobsInFlight: 2000,
  queuedTasksPerSlot: 20,
  callerQueueShare: 0.5,
  byDueTime: true,
  waitSafetyFactor: 1.2,
  reservedShare: 0.1,
  contentionThreshold: 0.5,
  paceRetries: true,
}

type Refusal = Extract<AdmissionDecision, { admitted: false }>

/** Retry-After when a service has no endpoint; one may appear within a heartbeat or two. */
const NO_ENDPOINT_RETRY_MS = 3000

/**
 * Refuses on arrival the jobs that could not complete in time: those that no endpoint could run,
 * that would end after their deadline, that exceed the caller's fair share, or that find the queue
 * full. Each refusal tells when a retry may succeed.
 *
 * @public
 */
export class PredictedFinishAdmission extends Admission {
  private readonly options: PredictedFinishAdmissionOptions
  private readonly retryPacer: RetryAfterPacer
  private readonly leadTimes = new LeadTimeHistogram()

  constructor(options: Partial<PredictedFinishAdmissionOptions> = {}) {
    super()
    this.options = { ...defaultPredictedFinishAdmissionOptions, ...options }
    this.retryPacer = new RetryAfterPacer(this.options.paceRetries)
  }

  override decide(now: number, request: AdmissionRequest): AdmissionDecision {
    const job = new JobDemand(request)
    const refusal =
      this.refuseUnservable(request) ??
      this.refuseBeyondShare(now, job) ??
      this.refuseWhenFull(now, job) ??
      this.refuseWhenLate(now, job)
    if (refusal !== undefined) return refusal
    this.leadTimes.observe(job.leadMs(now), job.workMs)
    return { admitted: true }
  }

  private refuseUnservable({ tasks, offers }: AdmissionRequest): Refusal | undefined {
    for (const task of tasks) {
      if (couldEverRun(task, offers)) continue
      const isKnown = offers.some((offer) => offer.service === task.service && offer.slots > 0)
      if (!isKnown) {
        const detail = `No endpoint of service ${task.service} is known now.`
        return refuse(Reason.NO_ENDPOINT, detail, NO_ENDPOINT_RETRY_MS)
      }
      const detail = `Task ${task.index} asks for more than any worker of ${task.service} has.`
      return refuse(Reason.NEVER_FITS, detail, 0)
    }
    return undefined
  }

  private refuseBeyondShare(now: number, job: JobDemand): Refusal | undefined {
    const { callerTasksInFlight, tasks } = job.request
    // The share never blocks a caller with nothing in flight, however large its job.
    if (callerTasksInFlight === 0 || !this.isContended(job)) return undefined
    const capacity = this.taskCapacity(job)
    const excess = callerTasksInFlight + tasks.length - capacity * this.callerShare(job)
    if (excess <= 0) return undefined
    const detail = `The caller holds ${callerTasksInFlight} tasks, its share while others wait.`
    const drainMs =
      (excess * job.meanRunMs) / Math.max(1e-9, job.instanceSlots * this.callerShare(job))
    return refuse(Reason.CALLER_LIMIT, detail, this.retryPacer.reserve(now, drainMs, job.serviceMs))
  }

  private refuseWhenFull(now: number, job: JobDemand): Refusal | undefined {
    if (job.request.jobsInFlight >= this.options.jobsInFlight) {
      const detail = `The limit of ${this.options.jobsInFlight} jobs in flight is reached.`
      return refuse(
        Reason.QUEUE_FULL,
        detail,
        this.retryPacer.reserve(now, job.meanRunMs, job.serviceMs),
      )
    }
    for (const { capacity, count } of job.services) {
      const limit = capacity.slots * (1 + this.options.queuedTasksPerSlot)
      if (count > limit) {
        const detail = `A job may have ${limit} tasks of one service under the preset in force.`
        return refuse(Reason.PRESET_LIMIT, detail, 0)
      }
      const usable = this.isAboveFairShare(job) ? limit * (1 - this.options.reservedShare) : limit
      const excess = excessTasks(count, usable, capacity, job.request.instances)
      if (excess <= 0) continue
      const detail = `${capacity.assignedTasks} of ${limit} places of the service are taken.`
      const delayMs = (excess * capacity.meanRunMs) / capacity.slots
      return refuse(Reason.QUEUE_FULL, detail, this.retryPacer.reserve(now, delayMs, job.serviceMs))
    }
    return undefined
  }

  private refuseWhenLate(now: number, job: JobDemand): Refusal | undefined {
    const budgetMs = job.request.deadlineAt - now
    const share = this.options.byDueTime ? this.leadTimes.cumulativeShare(job.leadMs(now)) : 1
    const finishMs = job.finishMs(share * this.options.waitSafetyFactor)
    if (finishMs <= budgetMs) return undefined
    const idleMs = job.finishMs(0)
    if (idleMs > budgetMs) {
      const detail = `It needs about ${Math.round(idleMs)} ms without any wait, more than is left.`
      return refuse(Reason.TOO_LATE, detail, 0)
    }
    const detail = `It would end in about ${Math.round(finishMs)} ms, after its deadline.`
    const delayMs = finishMs - budgetMs
    return refuse(Reason.TOO_LATE, detail, this.retryPacer.reserve(now, delayMs, job.serviceMs))
  }

  /** Tasks, running or queued, that this instance's share of the slots allows. */
  private taskCapacity(job: JobDemand): number {
    return job.instanceSlots * (1 + this.options.queuedTasksPerSlot)
  }

  /** Share of the task capacity that the caller may use under contention. */
  private callerShare({ request }: JobDemand): number {
    if (request.activeCallers <= 1) return 1
    const fair = request.callerWeight / request.activeCallers
    return Math.min(1, Math.max(fair, this.options.callerQueueShare * request.callerWeight))
  }

  private isContended({ services }: JobDemand): boolean {
    return services.some(({ capacity, count }) => {
      const limit = capacity.slots * (1 + this.options.queuedTasksPerSlot)
      return capacity.assignedTasks + count > limit * this.options.contentionThreshold
    })
  }

  private isAboveFairShare(job: JobDemand): boolean {
    const { callerTasksInFlight, activeCallers, callerWeight } = job.request
    const fair = Math.min(1, callerWeight / (activeCallers + 1))
    return callerTasksInFlight > this.taskCapacity(job) * fair
  }
}

/** Number of tasks by which a job exceeds the remaining capacity; 0 or less when it fits. */
function excessTasks(
  count: number,
  limit: number,
  capacity: ServiceCapacity,
  instances: number,
): number {
  const excess = count + capacity.assignedTasks - limit
  const reported = capacity.assignedTasks - capacity.unreported
  if (capacity.unreported === 0 || reported < IDLE_SHARE * capacity.slots) return excess
  // Each other instance may have placed as many tasks as this one since the owners' last reports,
  // so each instance uses no more than its share of the capacity that was left then.
  const left = limit - reported
  return Math.max(excess, count + capacity.unreported - left / Math.max(1, instances))
}

function refuse(reason: Reason, detail: string, retryAfterMs: number): Refusal {
  return { admitted: false, reason, detail, retryAfterMs }
}
