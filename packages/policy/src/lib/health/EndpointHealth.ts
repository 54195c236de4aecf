/** How much work an endpoint may get. @public */
export enum HealthState {
  Healthy = 'healthy',
  /** Gets one task at a time, to find out whether it works again. */
  Probation = 'probation',
  /** Gets no tasks for now. */
  Ejected = 'ejected',
}

/** How a task failed at an endpoint. @public */
export enum HealthFailure {
  /** The task ran and failed. */
  TaskFailed = 'task_failed',
  /** The endpoint refused the task although it had announced a free slot. */
  Refused = 'refused',
  /** No answer arrived. */
  Lost = 'lost',
}

/** Identifies the job, endpoint and service of one observed result. @public */
export interface HealthObservation {
  readonly endpoint: string
  readonly service: string
  readonly jobId: string
}

/**
 * Outlier detection for endpoints. Distinguishes endpoints that fail work their peers complete from
 * jobs that fail everywhere, and decides how much work each endpoint may get. Never ejects the last
 * capacity of a service.
 *
 * @public
 */
export abstract class EndpointHealth {
  /** Registers an endpoint, which also counts towards the capacity of its service. */
  abstract add(endpoint: string, service: string): void
  abstract remove(endpoint: string): void
  abstract recordSuccess(now: number, seen: HealthObservation, runMs: number): void
  abstract recordFailure(now: number, seen: HealthObservation, failure: HealthFailure): void
  abstract state(now: number, endpoint: string): HealthState
}
