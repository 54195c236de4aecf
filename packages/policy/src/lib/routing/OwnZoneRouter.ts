import { OwnerRouter } from './OwnerRouter'
import type { OwnerOffer, RouteAssignment, RoutedTask } from './OwnerRouter'

/**
 * Baseline: round robin over the owners in the coordinator's availability zone, or over all owners
 * when it has none.
 *
 * @public
 */
export class OwnZoneRouter extends OwnerRouter {
  private nextIndex = 0

  override assign(
    _now: number,
    ownZone: string,
    tasks: readonly RoutedTask[],
    offers: readonly OwnerOffer[],
  ): readonly RouteAssignment[] {
    return tasks.flatMap((task) => {
      const offering = offers.filter((offer) => offer.service === task.service && offer.slots > 0)
      const local = offering.filter((offer) => offer.zone === ownZone)
      const choice = local.length > 0 ? local : offering
      const offer = choice[this.nextIndex++ % Math.max(1, choice.length)]
      return offer === undefined ? [] : [{ index: task.index, instance: offer.instance }]
    })
  }
}
