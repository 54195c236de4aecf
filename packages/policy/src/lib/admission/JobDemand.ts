import { assignToOwners } from '../routing/assignToOwners'
import type { OwnerOffer, RoutedTask } from '../routing/OwnerRouter'
import type { AdmissionRequest } from './Admission'
import { describeService, IDLE_SHARE } from './describeService'
import type { ServiceCapacity } from './describeService'

/** An admission request with the figures that the admission checks derive from it. @internal */
export class JobDemand {
  readonly services: readonly { readonly capacity: ServiceCapacity; readonly count: number }[]
  readonly workMs: number
  readonly longestMs: number

  constructor(readonly request: AdmissionRequest) {
    const { tasks, offers } = request
    this.workMs = tasks.reduce((sum, task) => sum + task.estimateMs, 0)
    this.longestMs = tasks.reduce((most, task) => Math.max(most, task.estimateMs), 0)
    const fallbackMs = this.workMs / Math.max(1, tasks.length)
    this.services = countByService(tasks).map(([service, count]) => ({
      count,
      capacity: describeService(service, offers, fallbackMs),
    }))
  }

  /** This instance's share of the slots of the job's services. */
  get instanceSlots(): number {
    const slots = this.services.reduce((sum, { capacity }) => sum + capacity.slots, 0)
    return slots / Math.max(1, this.request.instances)
  }

  /** Mean run time of the slowest of the job's services. */
  get meanRunMs(): number {
    return this.services.reduce((most, { capacity }) => Math.max(most, capacity.meanRunMs), 0)
  }

  /** Time that this instance's share of the slots needs for the job. */
  get serviceMs(): number {
    return this.workMs / Math.max(1e-9, this.instanceSlots)
  }

  /**
   * Lead time, from arrival until the job is due in a queue ordered by due time: the job's work,
   * or the time until its latest start if that is shorter.
   *
   * @see DeadlineFairQueue
   */
  leadMs(now: number): number {
    return Math.min(this.workMs, this.request.deadlineAt - now - this.longestMs)
  }

  /** Predicted time until the job's last task ends, with all queue waits multiplied by a factor. */
  finishMs(waitFactor: number): number {
    const { tasks, offers } = this.request
    const { instances } = this.request
    const scaled = offers.map((offer) => projectOffer(offer, waitFactor, instances))
    const assigned = assignToOwners(tasks, scaled, () => 0)
    return assigned.reduce((latest, { finishMs }) => Math.max(latest, finishMs), 0)
  }
}

/** Adjusts an offer for the tasks that all instances are assumed to have placed since it was made. */
function projectOffer(offer: OwnerOffer, waitFactor: number, instances: number): OwnerOffer {
  if (waitFactor === 0) return { ...offer, waitMs: 0, freeSlots: offer.slots, unreported: 0 }
  // Assumes that each other instance has placed as many tasks as this one since the owner's last
  // report, unless the owner was idle then: a single large job does not indicate a burst.
  const reported = offer.slots - offer.freeSlots + offer.queuedTasks
  const isIdle = reported < IDLE_SHARE * offer.slots
  const unreported = offer.unreported * (isIdle ? 1 : instances)
  return { ...offer, waitMs: offer.waitMs * waitFactor, unreported }
}

function countByService(tasks: readonly RoutedTask[]): [string, number][] {
  const counts = new Map<string, number>()
  for (const task of tasks) counts.set(task.service, (counts.get(task.service) ?? 0) + 1)
  return [...counts]
}
