import type { EndpointCapacity } from '@cherryhitch/protocol'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { Task } from '../jobs/Job'

/** Last known state of a run. @internal */
export enum RunState {
  /** The order to start was sent; the endpoint has not answered yet. */
  Starting = 'starting',
  Running = 'running',
  /** The order to stop was sent; it may still run until the endpoint reports its end. */
  Stopping = 'stopping',
}

/** Why a run ended. @internal */
export enum RunEnd {
  Done = 'done',
  Failed = 'failed',
  /** Stopped by an order, or because another member of its group ended. */
  Stopped = 'stopped',
  /** Its endpoint's lease expired, or the endpoint is lost. */
  Lost = 'lost',
  /** It certainly never started. */
  NotRun = 'not_run',
}

/** One start of a task on an endpoint. @internal */
export interface Run {
  /** Undefined for an orphan: a run found at an endpoint whose job is not known here. */
  task: Task | undefined
  readonly name: string
  readonly number: number
  readonly endpoint: EndpointRecord
  /** Undefined while unknown: the endpoint then counts as having no free capacity. */
  needs: EndpointCapacity | undefined
  state: RunState
  /** When the order to start was first sent. */
  readonly sentAt: number
  /** Number of times the order to start was sent. */
  startOrders: number
  /** Endpoint time until which the order to start is valid. */
  readonly orderEndsAt: number
  /** When the endpoint first confirmed that it runs. */
  confirmedAt: number | undefined
  /** Estimated run time on this endpoint, in milliseconds; 0 while its job is not known. */
  expectedMs: number
  /** When the endpoint confirmed the order to stop. */
  stopConfirmedAt: number | undefined
  /** When to send the order to stop again. */
  stopDueAt: number
  /** When to poll its endpoint for its state. */
  pollDueAt: number
  /** Why it was ordered to stop; empty if it was not. */
  stopReason: string
}
