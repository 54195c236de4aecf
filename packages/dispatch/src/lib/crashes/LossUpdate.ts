import type { LostEndpoint, PossibleLoss } from '@cherryhitch/protocol'

/** Information about lost endpoints that instances exchange. @public */
export interface LossUpdate {
  readonly lost: readonly LostEndpoint[]
  /** Losses for which it is not known which tasks ran there. */
  readonly possible: readonly PossibleLoss[]
}
