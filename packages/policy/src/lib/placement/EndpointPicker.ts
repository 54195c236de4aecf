import type { QueuedTask } from '../order/TaskQueue'

/** An endpoint that can start the task now, having a free slot and enough resources. @public */
export interface PlacementCandidate {
  readonly endpoint: string
  readonly rack: string
  readonly slots: number
  readonly busySlots: number
  /** Ratio of run times here to those of the same work at peers; 1 is average, 8 a straggler. */
  readonly slowness: number
  /** Running tasks of the same job at this endpoint. */
  readonly sameJobHere: number
  /** Running tasks of the same job in this rack. */
  readonly sameJobInRack: number
}

/** The owner's forecast for endpoints that are not candidates now. @public */
export interface PlacementOutlook {
  /** Expected time until one of them that is not slow has a free slot, in milliseconds. */
  readonly nextSlotMs: number
}

/** Chooses the endpoint for a task that is about to start. @public */
export abstract class EndpointPicker {
  /**
   * @param outlook - omitted when the owner has no forecast
   * @returns undefined when waiting is better than using any of the candidates
   */
  abstract pick(
    now: number,
    task: QueuedTask,
    candidates: readonly PlacementCandidate[],
    outlook?: PlacementOutlook,
  ): PlacementCandidate | undefined
}
