import type { Resources } from '@cherryhitch/protocol'

/** A task that needs an owner. @public */
export interface RoutedTask {
  readonly index: number
  readonly service: string
  readonly estimateMs: number
  readonly resources: Resources | undefined
}

/** What one owner offers for one service, as the coordinator knows it. @public */
export interface OwnerOffer {
  readonly instance: string
  readonly zone: string
  readonly service: string
  readonly slots: number
  readonly freeSlots: number
  readonly queuedTasks: number
  /** Wait of a task queued there now, as the owner predicts it, in milliseconds. */
  readonly waitMs: number
  readonly meanRunMs: number
  readonly largest: Resources | undefined
  /** Round trip to it in milliseconds; 0 for the coordinator's own instance. */
  readonly roundTripMs: number
  /** Tasks that this coordinator placed there since the offer was made, not yet in it. */
  readonly unreported: number
}

/** @public */
export interface RouteAssignment {
  readonly index: number
  readonly instance: string
}

/** Splits the tasks of a job over owners. @public */
export abstract class OwnerRouter {
  /**
   * Assigns every task that some offer could serve; tasks of a service without any offer are
   * left out.
   */
  abstract assign(
    now: number,
    ownZone: string,
    tasks: readonly RoutedTask[],
    offers: readonly OwnerOffer[],
  ): readonly RouteAssignment[]
}
