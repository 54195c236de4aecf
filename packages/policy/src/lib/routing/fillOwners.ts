import { canHold } from '../util/canHold'
import { OwnerLoad } from './OwnerLoad'
import type { OwnerOffer, RoutedTask } from './OwnerRouter'

/** Where a task would go, and when it would end there. @internal */
export interface FilledTask {
  readonly task: RoutedTask
  readonly offer: OwnerOffer
  /** Predicted milliseconds from now until the task ends. */
  readonly finishMs: number
}

/** Differences below this are noise: the fuller owner gives way. Half of a hop of 1 ms. */
const TIE_MS = 0.5

/**
 * Spreads tasks over owners so that their predicted finishes come out level: the longest task
 * first, each to the owner where it costs least after those before it.
 *
 * @param extraCostMs - what using this offer costs beyond its wait
 * @returns only tasks that some offer could serve
 * @internal
 */
export function fillOwners(
  tasks: readonly RoutedTask[],
  offers: readonly OwnerOffer[],
  extraCostMs: ExtraCost,
): readonly FilledTask[] {
  return [...new Set(tasks.map((task) => task.service))].flatMap((service) => {
    const mine = tasks.filter((task) => task.service === service)
    const meanMs = mine.reduce((sum, task) => sum + task.estimateMs, 0) / mine.length
    const loads = offers
      .filter((offer) => offer.service === service && offer.slots > 0)
      .map((offer) => new OwnerLoad(offer, meanMs))
    return fillService(mine, loads, extraCostMs)
  })
}

type ExtraCost = (offer: OwnerOffer, task: RoutedTask) => number

function fillService(
  tasks: readonly RoutedTask[],
  loads: readonly OwnerLoad[],
  extraCostMs: ExtraCost,
): FilledTask[] {
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
