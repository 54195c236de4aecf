import type { Outcome, Reason } from '@cherryhitch/protocol'

/** How a task ended here. @internal */
export interface TaskEnd {
  readonly outcome: Outcome
  readonly reason?: Reason
  readonly output?: string
  readonly detail?: string
  readonly runMs?: number
  readonly retryAfterMs?: number
  /** False when its endpoint never said that it is over, so that it may still hold a slot. */
  readonly released?: boolean
}
