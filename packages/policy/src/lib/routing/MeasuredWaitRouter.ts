import { fillOwners } from './fillOwners'
import { OwnerRouter } from './OwnerRouter'
import type { OwnerOffer, RouteAssignment, RoutedTask } from './OwnerRouter'

/** @public */
export interface MeasuredWaitRouterOptions {
  /** Wait that is borne at home before a task leaves its zone, beyond the way, in milliseconds. */
  readonly spillMarginMs: number
  /** The same for each millisecond of the task's estimated run time. */
  readonly spillMarginPerRun: number
}

/** @public */
export const defaultMeasuredWaitRouterOptions: MeasuredWaitRouterOptions = {
  spillMarginMs: 3,
  // A margin that grows with the tasks keeps large jobs in a full zone while others idle.
  spillMarginPerRun: 0,
}

/**
 * Sends tasks to the owner where they are predicted to end first, in the own zone unless another
 * one is ahead by more than the way there and the margin.
 *
 * @public
 */
export class MeasuredWaitRouter extends OwnerRouter {
  private readonly options: MeasuredWaitRouterOptions

  constructor(options: Partial<MeasuredWaitRouterOptions> = {}) {
    super()
    this.options = { ...defaultMeasuredWaitRouterOptions, ...options }
  }

  override assign(
    _now: number,
    ownZone: string,
    tasks: readonly RoutedTask[],
    offers: readonly OwnerOffer[],
  ): readonly RouteAssignment[] {
    const { spillMarginMs, spillMarginPerRun } = this.options
    const extraCostMs = (offer: OwnerOffer, task: RoutedTask): number =>
      offer.zone === ownZone ? 0 : spillMarginMs + spillMarginPerRun * task.estimateMs
    return fillOwners(tasks, offers, extraCostMs).map(({ task, offer }) => ({
      index: task.index,
      instance: offer.instance,
    }))
  }
}
