/** Times of serving a zone that is cut off, in milliseconds. @internal */
export interface ZoneTiming {
  /** How long a dispatching instance hears no leader before it offers to serve its zone. */
  readonly quietMs: number
  /** How much longer each instance waits than the one ranked before it. */
  readonly rankDelayMs: number
  /** Pause after an offer that was withdrawn because an entry has a leader. */
  readonly withdrawnPauseMs: number
  /** Interval of offers. */
  readonly offerIntervalMs: number
  /** How long a join counts, from the offer that it answers. */
  readonly joinLeaseMs: number
  /** How long an entry keeps to a zone dispatcher that it doesn't hear before it joins another. */
  readonly offerTimeoutMs: number
  /** After this time without a join, the callers of an entry are taken to be gone. */
  readonly entryLostMs: number
  /** Longest time that a job may take from its arrival; longer deadlines are capped. */
  readonly longestDeadlineMs: number
  /**
   * Time after a job's deadline in which it may still run: the longest lease by a slow clock, the
   * time for which a leader keeps runs of others, and the transit of a message.
   */
  readonly overAfterDeadlineMs: number
  /** Retry delay sent to refused callers: most cuts that a zone rides out last longer. */
  readonly retryAfterMs: number
}

/** @internal */
export const defaultZoneTiming: ZoneTiming = {
  quietMs: 600,
  rankDelayMs: 100,
  withdrawnPauseMs: 1_000,
  offerIntervalMs: 50,
  joinLeaseMs: 300,
  offerTimeoutMs: 250,
  entryLostMs: 800,
  longestDeadlineMs: 4_000,
  overAfterDeadlineMs: 3_000,
  retryAfterMs: 1_000,
}

/** Allowance for clocks that don't run alike, as a factor. */
const DRIFT_FACTOR = 1.05

/** Time after its arrival at which any job is over. @internal */
export function jobHorizonMs({ longestDeadlineMs, overAfterDeadlineMs }: ZoneTiming): number {
  return (longestDeadlineMs + overAfterDeadlineMs) * DRIFT_FACTOR
}

/**
 * Time after its last join at which an entry may leave a zone dispatcher that it has lost: all jobs
 * that the zone dispatcher took are over.
 *
 * @internal
 */
export function leaveAfterMs(timing: ZoneTiming): number {
  return timing.joinLeaseMs * DRIFT_FACTOR + jobHorizonMs(timing)
}
