import type { Reason } from '@cherryhitch/protocol'
import type { OwnerOffer, RoutedTask } from '../routing/OwnerRouter'

/** A submitted job and the load at the time of its admission decision. @public */
export interface AdmissionRequest {
  readonly caller: string
  readonly tasks: readonly RoutedTask[]
  readonly deadlineAt: number
  /** All known offers, for every service. */
  readonly offers: readonly OwnerOffer[]
  readonly jobsInFlight: number
  /** Tasks of this caller that this coordinator has in flight. */
  readonly callerTasksInFlight: number
  /** Tasks of all callers that this coordinator has in flight. */
  readonly tasksInFlight: number
  /** Callers with work in flight at this coordinator, including this one. */
  readonly activeCallers: number
  /** Ratio of the caller's weight to the mean weight of the active callers. */
  readonly callerWeight: number
  /** Instances that admit jobs now, including this one; they share the global limits. */
  readonly instances: number
}

/** @public */
export type AdmissionDecision =
  | { readonly admitted: true }
  | {
      readonly admitted: false
      readonly reason: Reason
      /** One sentence for the caller. */
      readonly detail: string
      /** Delay before a retry, in milliseconds; 0 when a retry would not help. */
      readonly retryAfterMs: number
    }

/** Decides whether a job is admitted. No task of a refused job has run. @public */
export abstract class Admission {
  abstract decide(now: number, request: AdmissionRequest): AdmissionDecision
}
