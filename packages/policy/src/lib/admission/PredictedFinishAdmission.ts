import { Reason } from '@cherryhitch/protocol'
import { Admission } from './Admission'
import type { AdmissionDecision, AdmissionRequest } from './Admission'
import { couldEverRun, IDLE_SHARE } from './describeService'
import type { ServiceCapacity } from './describeService'
import { JobAtDoor } from './JobAtDoor'
import { ReturnTimes } from './ReturnTimes'
import { LeadShares } from './LeadShares'

/** @public */
export interface PredictedFinishAdmissionOptions {
  readonly jobsInFlight: number
  readonly queuedTasksPerSlot: number
  /** Share of the places that one caller may hold while others wait, 0 to 1. */
  readonly callerQueueShare: number
  /** Whether owners serve by due time, so that small and urgent jobs wait for a part only. */
  readonly byDueTime: boolean
  /** Predicted waits are taken as longer by this factor. */
  readonly waitSafety: number
  /** Share of the places that is kept for callers below their fair share. */
  readonly reservedShare: number
  /** The share of a caller binds once this part of the places is taken, 0 to 1. */
  readonly contendedFill: number
  /** Spreads the times to come back at the pace of the service. */
  readonly pacedReturns: boolean
}

/** Measured in `docs/design/admission.md`; a preset overrides the first four. @public */
export const defaultPredictedFinishAdmissionOptions: PredictedFinishAdmissionOptions = {
  jobsInFlight: 2000,
  queuedTasksPerSlot: 20,
  callerQueueShare: 0.5,
  byDueTime: true,
  waitSafety: 1.2,
  reservedShare: 0.1,
  contendedFill: 0.5,
  pacedReturns: true,
}

type Refusal = Extract<AdmissionDecision, { admitted: false }>

/** Retry-After when a service has no endpoint: a heartbeat or two may bring one. */
const NO_ENDPOINT_RETRY_MS = 3000

/**
 * Refuses at the door what could not be answered in time: what no worker could run, what would
 * end after its deadline, what is beyond the caller's fair share, and what finds the queue full.
 * Each refusal says when coming back would help.
 *
 * @public
 */
export class PredictedFinishAdmission extends Admission {
  private readonly options: PredictedFinishAdmissionOptions
  private readonly returnTimes: ReturnTimes
  private readonly leadShares = new LeadShares()

  constructor(options: Partial<PredictedFinishAdmissionOptions> = {}) {
    super()
    this.options = { ...defaultPredictedFinishAdmissionOptions, ...options }
    this.returnTimes = new ReturnTimes(this.options.pacedReturns)
  }

  override decide(now: number, request: AdmissionRequest): AdmissionDecision {
    const job = new JobAtDoor(request)
    const refusal =
      this.refuseUnservable(request) ??
      this.refuseBeyondShare(now, job) ??
      this.refuseWhenFull(now, job) ??
      this.refuseWhenLate(now, job)
    if (refusal !== undefined) return refusal
    this.leadShares.observe(job.leadMs(now), job.workMs)
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

  private refuseBeyondShare(now: number, job: JobAtDoor): Refusal | undefined {
    const { callerTasksInFlight, tasks } = job.request
    // A caller with nothing in flight always gets its turn, however large its job.
    if (callerTasksInFlight === 0 || !this.isContended(job)) return undefined
    const places = this.placesOf(job)
    const over = callerTasksInFlight + tasks.length - places * this.callerShare(job)
    if (over <= 0) return undefined
    const detail = `The caller holds ${callerTasksInFlight} tasks, its share while others wait.`
    const drainMs = (over * job.meanRunMs) / Math.max(1e-9, job.slotsHere * this.callerShare(job))
    return refuse(Reason.CALLER_LIMIT, detail, this.returnTimes.book(now, drainMs, job.serviceMs))
  }

  private refuseWhenFull(now: number, job: JobAtDoor): Refusal | undefined {
    if (job.request.jobsInFlight >= this.options.jobsInFlight) {
      const detail = `The limit of ${this.options.jobsInFlight} jobs in flight is reached.`
      return refuse(
        Reason.QUEUE_FULL,
        detail,
        this.returnTimes.book(now, job.meanRunMs, job.serviceMs),
      )
    }
    for (const { capacity, count } of job.services) {
      const limit = capacity.slots * (1 + this.options.queuedTasksPerSlot)
      if (count > limit) {
        const detail = `A job may have ${limit} tasks of one service under the preset in force.`
        return refuse(Reason.PRESET_LIMIT, detail, 0)
      }
      const usable = this.isAboveShare(job) ? limit * (1 - this.options.reservedShare) : limit
      const over = tasksTooMany(count, usable, capacity, job.request.instances)
      if (over <= 0) continue
      const detail = `${capacity.tasksThere} of ${limit} places of the service are taken.`
      const delayMs = (over * capacity.meanRunMs) / capacity.slots
      return refuse(Reason.QUEUE_FULL, detail, this.returnTimes.book(now, delayMs, job.serviceMs))
    }
    return undefined
  }

  private refuseWhenLate(now: number, job: JobAtDoor): Refusal | undefined {
    const budgetMs = job.request.deadlineAt - now
    const share = this.options.byDueTime ? this.leadShares.shareUpTo(job.leadMs(now)) : 1
    const finishMs = job.finishMs(share * this.options.waitSafety)
    if (finishMs <= budgetMs) return undefined
    const idleMs = job.finishMs(0)
    if (idleMs > budgetMs) {
      const detail = `It needs about ${Math.round(idleMs)} ms without any wait, more than is left.`
      return refuse(Reason.TOO_LATE, detail, 0)
    }
    const detail = `It would end in about ${Math.round(finishMs)} ms, after its deadline.`
    const delayMs = finishMs - budgetMs
    return refuse(Reason.TOO_LATE, detail, this.returnTimes.book(now, delayMs, job.serviceMs))
  }

  /** Tasks that this instance's part of the whole may hold. */
  private placesOf(job: JobAtDoor): number {
    return job.slotsHere * (1 + this.options.queuedTasksPerSlot)
  }

  /** Part of the places that the caller may hold while others wait. */
  private callerShare({ request }: JobAtDoor): number {
    if (request.activeCallers <= 1) return 1
    const fair = request.callerWeight / request.activeCallers
    return Math.min(1, Math.max(fair, this.options.callerQueueShare * request.callerWeight))
  }

  private isContended({ services }: JobAtDoor): boolean {
    return services.some(({ capacity, count }) => {
      const places = capacity.slots * (1 + this.options.queuedTasksPerSlot)
      return capacity.tasksThere + count > places * this.options.contendedFill
    })
  }

  private isAboveShare(job: JobAtDoor): boolean {
    const { callerTasksInFlight, activeCallers, callerWeight } = job.request
    const fair = Math.min(1, callerWeight / (activeCallers + 1))
    return callerTasksInFlight > this.placesOf(job) * fair
  }
}

/** By how many tasks a job is beyond the places that are left; 0 or less when it is not. */
function tasksTooMany(
  count: number,
  places: number,
  capacity: ServiceCapacity,
  instances: number,
): number {
  const over = count + capacity.tasksThere - places
  const reported = capacity.tasksThere - capacity.unreported
  if (capacity.unreported === 0 || reported < IDLE_SHARE * capacity.slots) return over
  // The others may have placed as much as this instance since the owners reported, so each
  // takes no more than its part of what was left then.
  const left = places - reported
  return Math.max(over, count + capacity.unreported - left / Math.max(1, instances))
}

function refuse(reason: Reason, detail: string, retryAfterMs: number): Refusal {
  return { admitted: false, reason, detail, retryAfterMs }
}
