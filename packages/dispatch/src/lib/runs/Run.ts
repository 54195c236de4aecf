import type { EndpointCapacity } from '@cherryhitch/protocol'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { Task } from '../jobs/Job'

/** How far a run is, as known here. @internal */
export enum RunState {
  /** Ordered; the endpoint has not answered yet. */
  Starting = 'starting',
  Running = 'running',
  /** Ordered to stop; it may run until its end is listed. */
  Stopping = 'stopping',
}

/** Why a run is over. @internal */
export enum RunEnd {
  Done = 'done',
  Failed = 'failed',
  /** Stopped by an order, or by another member's end. */
  Stopped = 'stopped',
  /** Its endpoint's lease ran out, or the endpoint is gone. */
  Lost = 'lost',
  /** It truly never began. */
  NotRun = 'not_run',
}

/** One start of a task on an endpoint. @internal */
export interface Run {
  /** Undefined for one found running whose job is not known here. */
  task: Task | undefined
  readonly name: string
  readonly number: number
  readonly endpoint: EndpointRecord
  /** Undefined while unknown: then nothing else fits beside it. */
  needs: EndpointCapacity | undefined
  state: RunState
  /** When it was first ordered. */
  readonly sentAt: number
  /** Orders to start that were sent for it. */
  startOrders: number
  /** Endpoint's time until which the order to start is valid. */
  readonly orderEndsAt: number
  /** When the endpoint said that it runs. */
  confirmedAt: number | undefined
  /** Estimated length on this endpoint, in milliseconds; 0 while its job is not known. */
  expectedMs: number
  /** When the endpoint confirmed the order to stop. */
  stopConfirmedAt: number | undefined
  /** When to order the stop again. */
  stopDueAt: number
  /** When to ask its endpoint what became of it. */
  lookDueAt: number
  /** Why it is stopped, for the log. */
  stopReason: string
}
