import type { Resources } from '@cherryhitch/protocol'

/** A task to be assigned to an owner. @public */
export interface RoutedTask {
  readonly index: number
  readonly service: string
  readonly estimateMs: number
  readonly resources: Resources | undefined
}

/** The capacity and load of one owner for one service, as known to the coordinator. @public */
export interface OwnerOffer {
  readonly instance: string
  readonly zone: string
  readonly service: string
  readonly slots: number
  readonly freeSlots: number
  readonly queuedTasks: number
  /** The owner's prediction of the wait of a task queued there now, in milliseconds. */
  readonly waitMs: number
  readonly meanRunMs: number
  /** Resources of the owner's largest endpoint; undefined when unknown. */
  readonly largest: Resources | undefined
  /** Round-trip time to the owner, in milliseconds; 0 for the coordinator's own instance. */
  readonly roundTripMs: number
  /** Tasks that this coordinator placed there since the offer was made, not included in it. */
  readonly unreported: number
}

/** @public */
export interface RouteAssignment {
  readonly index: number
  readonly instance: string
}

/** Distributes the tasks of a job over owners. @public */
export abstract class OwnerRouter {
  /**
   * Assigns every task that an offer can serve. Tasks of a service without an offer are left out.
   */
  abstract assign(
    now: number,
    ownZone: string,
    tasks: readonly RoutedTask[],
    offers: readonly OwnerOffer[],
  ): readonly RouteAssignment[]
}
