/** Times in milliseconds; weighed in `docs/design/voters-log.md`. @public */
export interface ClientTiming {
  /** A message to the leader that is not answered within this goes to another voter. */
  readonly attemptMs: number
  /** Pause before another voter is asked when no leader was named. */
  readonly retryMs: number
  /** Between two reads of the settings while they are current. */
  readonly pollMs: number
  /** How long the settings are current after the read that confirmed them was sent. */
  readonly settingsLeaseMs: number
  /** After this a command of an operator is answered as it stands. */
  readonly proposalTimeoutMs: number
  /** The same for claims: the caller of a job waits for them. */
  readonly claimTimeoutMs: number
}

/** @public */
export const defaultClientTiming: ClientTiming = {
  attemptMs: 500,
  retryMs: 100,
  pollMs: 1_000,
  // A tenth less than the leader reckons with, for clocks that run at different speeds.
  settingsLeaseMs: 2_700,
  proposalTimeoutMs: 6_000,
  claimTimeoutMs: 3_000,
}

/** @internal */
export interface ClientOptions {
  readonly instance: string
  readonly boot: number
  /** Instances known from settings to host voters. */
  readonly voters: readonly string[]
  readonly timing: ClientTiming
  /** True where there is a disk: newer settings are stored before they take force. */
  readonly keepsSettings: boolean
}
