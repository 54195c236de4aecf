/** An instance that is listed in the settings. @public */
export interface KnownInstance {
  readonly instance: string
  readonly zone: string
}

/** Timing of membership, in milliseconds. @public */
export interface MembershipTiming {
  /** Interval of heartbeats to instances in the same availability zone. */
  readonly heartbeatMs: number
  /** Interval of heartbeats to instances in other zones, longer because those links cost more. */
  readonly crossZoneHeartbeatMs: number
  /** Time without a heartbeat after which an instance is considered lost. */
  readonly timeoutMs: number
  /** The same while the link to the instance is down. */
  readonly linkDownTimeoutMs: number
  /** Minimum interval between two urgent rounds of heartbeats. */
  readonly minUrgentIntervalMs: number
  /** Age at which an unchanged view is published again: coordinators take its age into account. */
  readonly viewRefreshMs: number
  /**
   * Minimum interval between two views published because of heartbeats. Changes that arrive earlier
   * are published together at the next tick.
   */
  readonly minViewIntervalMs: number
}

/**
 * A silent connection is replaced within 2 s. The timeout is longer, so that the peer is not
 * considered lost meanwhile.
 *
 * @public
 */
export const defaultMembershipTiming: MembershipTiming = {
  heartbeatMs: 200,
  crossZoneHeartbeatMs: 400,
  timeoutMs: 2500,
  linkDownTimeoutMs: 1000,
  minUrgentIntervalMs: 20,
  viewRefreshMs: 250,
  minViewIntervalMs: 10,
}

/** @public */
export interface MembershipOptions {
  readonly instance: string
  readonly boot: number
  readonly zone: string
  /** Host and port of this instance's API for endpoints, sent to the peers. */
  readonly endpointAddress: string
  readonly peers: readonly KnownInstance[]
  readonly timing?: Partial<MembershipTiming>
}
