/** Times in milliseconds; `docs/design/voters-log.md` gives the reasons for all values. @public */
export interface ClientTiming {
  /** Time after which an unanswered request is sent to another instance. */
  readonly attemptMs: number
  /** Delay before the next attempt if no leader is known or a request was refused. */
  readonly retryMs: number
  /** Interval between reads of the settings while these reads succeed. */
  readonly pollMs: number
  /** How long the settings count as current, from when the read that confirmed them was sent. */
  readonly settingsLeaseMs: number
  /**
   * Time after which a read is answered as unconfirmed, and an operator's command as `UNAVAILABLE`
   * or `UNKNOWN`.
   */
  readonly proposalTimeoutMs: number
  /** The same for claims; it is shorter because the caller of a job waits for them. */
  readonly claimTimeoutMs: number
}

/** @public */
export const defaultClientTiming: ClientTiming = {
  attemptMs: 500,
  retryMs: 100,
  pollMs: 1_000,
  // A tenth less than the leader's lease, to allow for clocks that run at different speeds.
  settingsLeaseMs: 2_700,
  proposalTimeoutMs: 6_000,
  claimTimeoutMs: 3_000,
}

/** @internal */
export interface ClientOptions {
  readonly instance: string
  readonly boot: number
  /** Instances that host voters, according to the settings of the process. */
  readonly voters: readonly string[]
  readonly timing: ClientTiming
  /** True if there is a disk: newer settings are then stored before they take effect. */
  readonly storesSettings: boolean
}
