import { canHold } from '../util/canHold'
import type { OwnerOffer, RoutedTask } from '../routing/OwnerRouter'

/** A service is idle when it reports fewer tasks than this share of its slots. @internal */
export const IDLE_SHARE = 0.5

/** Capacity and load of one service, summed over all owners. @internal */
export interface ServiceCapacity {
  readonly slots: number
  /** Tasks that are running, queued, or placed but not yet reported by an owner. */
  readonly assignedTasks: number
  readonly unreported: number
  readonly meanRunMs: number
}

/** Sums the offers for one service. @internal */
export function describeService(
  service: string,
  offers: readonly OwnerOffer[],
  fallbackRunMs: number,
): ServiceCapacity {
  const mine = offers.filter((offer) => offer.service === service)
  const sum = (value: (offer: OwnerOffer) => number): number =>
    mine.reduce((total, offer) => total + value(offer), 0)
  const slots = sum((offer) => offer.slots)
  const unreported = sum((offer) => offer.unreported)
  const measuredMs = sum((offer) => offer.meanRunMs * offer.slots) / Math.max(1, slots)
  return {
    slots,
    unreported,
    assignedTasks: sum((offer) => offer.slots - offer.freeSlots + offer.queuedTasks) + unreported,
    meanRunMs: measuredMs > 0 ? measuredMs : fallbackRunMs,
  }
}

/** Whether any owner has an endpoint large enough for the task, free or not. @internal */
export function couldEverRun(task: RoutedTask, offers: readonly OwnerOffer[]): boolean {
  return offers.some(
    (offer) =>
      offer.service === task.service && offer.slots > 0 && canHold(offer.largest, task.resources),
  )
}
