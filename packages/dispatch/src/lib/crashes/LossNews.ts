import type { LostEndpoint, PossibleLoss } from '@cherryhitch/protocol'

/** What instances tell each other of endpoints that were lost. @public */
export interface LossNews {
  readonly lost: readonly LostEndpoint[]
  /** Losses of which it is not known what ran there. */
  readonly possible: readonly PossibleLoss[]
}
