import type { Effect } from 'effect'
import type { HoldFailure } from '../DispatchEvent'

/** How an endpoint listed the end of a run. @public */
export enum ListedEnd {
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  /** The endpoint's lease ran out. */
  LeaseExpired = 'lease_expired',
  /** Another member of its group ended. */
  GroupBroken = 'group_broken',
  /** It waited in vain for the other members of its group. */
  GroupIncomplete = 'group_incomplete',
}

/** A run that an endpoint lists as under way. @public */
export interface ListedRun {
  readonly task: string
  readonly run: number
}

/** An end that an endpoint lists. @public */
export interface ListedRunEnd extends ListedRun {
  /** Position in the endpoint's list; rises with each end. */
  readonly position: number
  readonly end: ListedEnd
}

/** What an endpoint says of its runs. @public */
export interface HoldReport {
  /** The endpoint's steady clock, in milliseconds. */
  readonly clockMs: number
  readonly running: readonly ListedRun[]
  readonly ended: readonly ListedRunEnd[]
}

interface EndpointOrder {
  readonly endpoint: string
  /** Host and port. */
  readonly address: string
  readonly fencingToken: number
  /** When it was made, in milliseconds of our clock. */
  readonly sentAt: number
}

/** Renews an endpoint's lease and asks for its lists. @public */
export interface HoldOrder extends EndpointOrder {
  /** Endpoint's time until which its runs may go on; undefined leaves the lease as it is. */
  readonly leaseEndsAt: number | undefined
  /** Ends up to this position are taken in. */
  readonly acknowledgedEnd: number
  /** How long the answer may wait for an end, in milliseconds. */
  readonly waitMs: number
  readonly timeoutMs: number
}

/** @public */
export interface StartOrder extends EndpointOrder {
  readonly task: string
  readonly run: number
  readonly payload: string
  /** Endpoint's time until which the order is valid. */
  readonly orderEndsAt: number
  readonly timeoutMs: number
}

/** @public */
export interface StopOrder extends EndpointOrder {
  readonly task: string
  readonly run: number
  readonly timeoutMs: number
}

/** What came of an order to start. @public */
export enum StartResult {
  Runs = 'runs',
  /** It has seen a higher fencing token. */
  Fenced = 'fenced',
  /** This or a higher run ended there. */
  OldRun = 'old_run',
  /** The order came too late. */
  TooLate = 'too_late',
  NoRoom = 'no_room',
  /** The order itself is not understood. */
  Malformed = 'malformed',
  /** The endpoint is unhealthy and did nothing. */
  Unhealthy = 'unhealthy',
  /** Another life of the endpoint is at the address. */
  Replaced = 'replaced',
  /** The order never left. */
  NotSent = 'not_sent',
  /** No answer: it may run, now or later. */
  Unknown = 'unknown',
}

/** @public */
export interface HoldFault {
  readonly failure: HoldFailure
  readonly detail: string
}

/** How endpoints are spoken to; the adapter of a platform gives the words. @public */
export abstract class EndpointGateway {
  abstract hold(order: HoldOrder): Effect.Effect<HoldReport, HoldFault>
  abstract start(order: StartOrder): Effect.Effect<StartResult>
  /** True once the endpoint confirmed that the run is stopped and won't begin. */
  abstract stop(order: StopOrder): Effect.Effect<boolean>
}
