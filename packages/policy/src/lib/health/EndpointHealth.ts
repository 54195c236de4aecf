/** How much work an endpoint may get. @public */
export enum HealthState {
  Healthy = 'healthy',
  /** One task at a time, to find out whether it works again. */
  Probation = 'probation',
  /** No task for now. */
  Ejected = 'ejected',
}

/** What went wrong at an endpoint. @public */
export enum HealthFailure {
  /** The task ran and failed. */
  TaskFailed = 'task_failed',
  /** It refused, though it announced a free slot. */
  Refused = 'refused',
  /** Its answer never came. */
  Lost = 'lost',
}

/** One thing seen of an endpoint. @public */
export interface HealthObservation {
  readonly endpoint: string
  readonly service: string
  readonly jobId: string
}

/**
 * Tells endpoints that fail what their peers complete from jobs that fail everywhere, and says
 * how much work an endpoint may get. Never ejects the last capacity of a service.
 *
 * @public
 */
export abstract class EndpointHealth {
  /** Makes an endpoint known, also as capacity of its service. */
  abstract add(endpoint: string, service: string): void
  abstract remove(endpoint: string): void
  abstract recordSuccess(now: number, seen: HealthObservation, runMs: number): void
  abstract recordFailure(now: number, seen: HealthObservation, failure: HealthFailure): void
  abstract state(now: number, endpoint: string): HealthState
}
