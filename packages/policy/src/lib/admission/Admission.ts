import type { Reason } from '@cherryhitch/protocol'
import type { OwnerOffer, RoutedTask } from '../routing/OwnerRouter'

/** A job at the door. @public */
export interface AdmissionRequest {
  readonly caller: string
  readonly tasks: readonly RoutedTask[]
  readonly deadlineAt: number
  /** All offers known, for every service. */
  readonly offers: readonly OwnerOffer[]
  readonly jobsInFlight: number
  /** Tasks of this caller that this coordinator has in flight. */
  readonly callerTasksInFlight: number
  /** Tasks of all callers that this coordinator has in flight. */
  readonly tasksInFlight: number
  /** Callers with work in flight here, this one included. */
  readonly activeCallers: number
  /** Weight of the caller over the mean weight of the active callers. */
  readonly callerWeight: number
  /** Instances that admit jobs now, this one included: limits of the whole are shared by them. */
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
      /** When to come back, in milliseconds; 0 when it would not help. */
      readonly retryAfterMs: number
    }

/** Decides whether a job is taken. A refusal here is always truly "not run". @public */
export abstract class Admission {
  abstract decide(now: number, request: AdmissionRequest): AdmissionDecision
}
