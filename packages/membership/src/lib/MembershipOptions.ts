/** An instance that the settings name. @public */
export interface KnownInstance {
  readonly instance: string
  readonly zone: string
}

/** Timing of membership, in milliseconds. @public */
export interface MembershipTiming {
  /** Between two heartbeats to instances of the own zone. */
  readonly heartbeatMs: number
  /** Between two heartbeats to instances of other zones; their links cost more. */
  readonly farHeartbeatMs: number
  /** Silence after which an instance counts as not alive. */
  readonly timeoutMs: number
  /** Silence that is enough once its link is down as well. */
  readonly linkDownTimeoutMs: number
  /** Least time between two urgent heartbeats. */
  readonly urgentGapMs: number
  /** The view is told again after this without a change: coordinators weigh its age. */
  readonly viewMs: number
  /** Least time between two views for what heartbeats tell; news wait for the next tick. */
  readonly viewGapMs: number
}

/**
 * The timeout leaves room for a silent connection to be replaced within 2 s without its peer
 * being called dead.
 *
 * @public
 */
export const defaultMembershipTiming: MembershipTiming = {
  heartbeatMs: 200,
  farHeartbeatMs: 400,
  timeoutMs: 2500,
  linkDownTimeoutMs: 1000,
  urgentGapMs: 20,
  viewMs: 250,
  viewGapMs: 10,
}

/** @public */
export interface MembershipOptions {
  readonly instance: string
  readonly boot: number
  readonly zone: string
  /** Host and port of this instance's endpoint interface, told to the others. */
  readonly endpointAddress: string
  readonly peers: readonly KnownInstance[]
  readonly timing?: Partial<MembershipTiming>
}
