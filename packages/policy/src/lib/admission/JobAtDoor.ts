import { fillOwners } from '../routing/fillOwners'
import type { OwnerOffer, RoutedTask } from '../routing/OwnerRouter'
import type { AdmissionRequest } from './Admission'
import { describeService, IDLE_SHARE } from './describeService'
import type { ServiceCapacity } from './describeService'

/** A request with what the decisions derive from it. @internal */
export class JobAtDoor {
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

  /** This instance's part of the slots. */
  get slotsHere(): number {
    const slots = this.services.reduce((sum, { capacity }) => sum + capacity.slots, 0)
    return slots / Math.max(1, this.request.instances)
  }

  get meanRunMs(): number {
    return this.services.reduce((most, { capacity }) => Math.max(most, capacity.meanRunMs), 0)
  }

  /** How long this instance's part of the slots needs for the job. */
  get serviceMs(): number {
    return this.workMs / Math.max(1e-9, this.slotsHere)
  }

  /**
   * Time until the job falls due in a queue by due time: its work, or until its latest start.
   *
   * @see DeadlineFairQueue
   */
  leadMs(now: number): number {
    return Math.min(this.workMs, this.request.deadlineAt - now - this.longestMs)
  }

  /** Predicted end of its last task, with all waits in queues taken times a factor. */
  finishMs(waitFactor: number): number {
    const { tasks, offers } = this.request
    const { instances } = this.request
    const scaled = offers.map((offer) => foresee(offer, waitFactor, instances))
    const filled = fillOwners(tasks, scaled, () => 0)
    return filled.reduce((latest, { finishMs }) => Math.max(latest, finishMs), 0)
  }
}

/** An offer as it will be once what all instances placed since has arrived. */
function foresee(offer: OwnerOffer, waitFactor: number, instances: number): OwnerOffer {
  if (waitFactor === 0) return { ...offer, waitMs: 0, freeSlots: offer.slots, unreported: 0 }
  // The others are taken to have placed as much as this instance since the owner reported,
  // unless it was idle then: one large job is no sign of a burst.
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
