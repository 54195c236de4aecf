import type { Outcome, Reason } from '@cherryhitch/protocol'

/** How a task ended at this owner. @internal */
export interface TaskResult {
  readonly outcome: Outcome
  readonly reason?: Reason
  readonly output?: string
  readonly detail?: string
  readonly runMs?: number
  readonly retryAfterMs?: number
  /** False if the endpoint did not confirm the end, so the task may still occupy a slot there. */
  readonly released?: boolean
}
