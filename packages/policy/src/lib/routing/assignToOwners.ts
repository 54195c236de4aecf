import { canHold } from '../util/canHold'
import { OwnerLoad } from './OwnerLoad'
import type { OwnerOffer, RoutedTask } from './OwnerRouter'

/** The owner that a task is assigned to and its predicted end. @internal */
export interface PredictedAssignment {
  readonly task: RoutedTask
  readonly offer: OwnerOffer
  /** Predicted time until the task ends, in milliseconds. */
  readonly finishMs: number
}

/**
 * Costs that differ by less count as equal, and the owner with more free slots wins. Half of a
 * network hop of 1 ms.
 */
const TIE_MS = 0.5

/**
 * Distributes tasks over owners so that their predicted end times are balanced: greedily, longest
 * task first, each to the owner with the lowest cost given the tasks already assigned.
 *
 * @param extraCostMs - cost of using the offer in addition to its wait
 * @returns only the tasks that an offer can serve
 * @internal
 */
export function assignToOwners(
  tasks: readonly RoutedTask[],
  offers: readonly OwnerOffer[],
  extraCostMs: ExtraCost,
): readonly PredictedAssignment[] {
  return [...new Set(tasks.map((task) => task.service))].flatMap((service) => {
    const mine = tasks.filter((task) => task.service === service)
    const meanMs = mine.reduce((sum, task) => sum + task.estimateMs, 0) / mine.length
    const loads = offers
      .filter((offer) => offer.service === service && offer.slots > 0)
      .map((offer) => new OwnerLoad(offer, meanMs))
    return assignService(mine, loads, extraCostMs)
  })
}

type ExtraCost = (offer: OwnerOffer, task: RoutedTask) => number

function assignService(
  tasks: readonly RoutedTask[],
  loads: readonly OwnerLoad[],
  extraCostMs: ExtraCost,
): PredictedAssignment[] {
  const longestFirst = [...tasks].sort((a, b) => b.estimateMs - a.estimateMs)
  return longestFirst.flatMap((task) => {
    const load = cheapest(task, loads, extraCostMs)
    if (load === undefined) return []
    const finishMs = load.waitMs + task.estimateMs
    load.add(task.estimateMs)
    return [{ task, offer: load.offer, finishMs }]
  })
}

function cheapest(
  task: RoutedTask,
  loads: readonly OwnerLoad[],
  extraCostMs: ExtraCost,
): OwnerLoad | undefined {
  let best: OwnerLoad | undefined
  let bestCost = Infinity
  for (const load of loads) {
    if (!canHold(load.offer.largest, task.resources)) continue
    const cost = load.waitMs + extraCostMs(load.offer, task)
    const tied = Math.abs(cost - bestCost) < TIE_MS
    const better = tied && best !== undefined ? load.freeShare > best.freeShare : cost < bestCost
    if (!better) continue
    best = load
    bestCost = cost
  }
  return best
}
