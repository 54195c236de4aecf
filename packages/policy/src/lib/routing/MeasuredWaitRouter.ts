import { assignToOwners } from './assignToOwners'
import { OwnerRouter } from './OwnerRouter'
import type { OwnerOffer, RouteAssignment, RoutedTask } from './OwnerRouter'

/** @public */
export interface MeasuredWaitRouterOptions {
  /**
   * How much sooner, in milliseconds and beyond the round trip, a task must start in another
   * availability zone before it leaves its own.
   */
  readonly spillMarginMs: number
  /** Additional margin per millisecond of the task's estimated run time. */
  readonly spillMarginPerRun: number
}

/** @public */
export const defaultMeasuredWaitRouterOptions: MeasuredWaitRouterOptions = {
  spillMarginMs: 3,
  // A margin that grows with run time keeps large jobs in a full zone while other zones are idle.
  spillMarginPerRun: 0,
}

/**
 * Sends tasks to the owner where they are predicted to end first. Tasks stay in the coordinator's
 * availability zone unless another zone is ahead by more than the round trip and the margin.
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
    return assignToOwners(tasks, offers, extraCostMs).map(({ task, offer }) => ({
      index: task.index,
      instance: offer.instance,
    }))
  }
}
