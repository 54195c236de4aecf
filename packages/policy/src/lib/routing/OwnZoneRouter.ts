import { OwnerRouter } from './OwnerRouter'
import type { OwnerOffer, RouteAssignment, RoutedTask } from './OwnerRouter'

/** Baseline: in turn over the owners of the own zone, or of any zone when it has none. @public */
export class OwnZoneRouter extends OwnerRouter {
  private turn = 0

  override assign(
    _now: number,
    ownZone: string,
    tasks: readonly RoutedTask[],
    offers: readonly OwnerOffer[],
  ): readonly RouteAssignment[] {
    return tasks.flatMap((task) => {
      const offering = offers.filter((offer) => offer.service === task.service && offer.slots > 0)
      const near = offering.filter((offer) => offer.zone === ownZone)
      const choice = near.length > 0 ? near : offering
      const offer = choice[this.turn++ % Math.max(1, choice.length)]
      return offer === undefined ? [] : [{ index: task.index, instance: offer.instance }]
    })
  }
}
