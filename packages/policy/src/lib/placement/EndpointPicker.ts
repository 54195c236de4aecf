import type { QueuedTask } from '../order/TaskQueue'

/** One endpoint that could start a task now: it has a free slot and the resources. @public */
export interface PlacementCandidate {
  readonly endpoint: string
  readonly rack: string
  readonly slots: number
  readonly busySlots: number
  /** Measured run times here over those of the same work elsewhere; 1 is average, 8 a straggler. */
  readonly slowness: number
  /** Tasks of the same job that run here now. */
  readonly sameJobHere: number
  /** Tasks of the same job that run in this rack now. */
  readonly sameJobInRack: number
}

/** What the owner expects of the endpoints that are no candidates now. @public */
export interface PlacementOutlook {
  /** Expected milliseconds until one of them that is not slow has a free slot. */
  readonly nextSlotMs: number
}

/** Chooses the endpoint for a task that is about to start. @public */
export abstract class EndpointPicker {
  /**
   * @param outlook - left out where the owner does not know it
   * @returns undefined when it is better to wait than to use any of the candidates
   */
  abstract pick(
    now: number,
    task: QueuedTask,
    candidates: readonly PlacementCandidate[],
    outlook?: PlacementOutlook,
  ): PlacementCandidate | undefined
}
