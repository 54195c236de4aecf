/**
 * A run that takes this many times its estimate is taken to hang or to be on a very slow endpoint.
 * Estimates are imprecise, but hardly any normal run takes that long.
 */
const OVERRUN_FACTOR = 5
/** Runs shorter than this are not worth a restart, in milliseconds. */
const MIN_OVERRUN_MS = 300

/** Time after its start at which a run counts as an overrun, in milliseconds. @internal */
export function overrunThresholdMs(expectedMs: number): number {
  return Math.max(MIN_OVERRUN_MS, OVERRUN_FACTOR * expectedMs)
}

/** What to do with a run that takes far longer than its estimate. @internal */
export enum OverrunDecision {
  /** The endpoint may be the cause: stop the run and restart the task on another endpoint. */
  Stop = 'stop',
  /** The task itself is long, or a restart elsewhere would end too late: let the run continue. */
  Continue = 'go_on',
}

/** Observations that show whether the endpoint or the task causes an overrun. @internal */
export interface OverrunEvidence {
  /** Number of other endpoints on which tasks of the same step have overrun as well. */
  readonly otherEndpoints: number
  /**
   * Whether the endpoint has completed another run in about its expected time since this one began.
   */
  readonly isEndpointSound: boolean
  /** Least run time of the task on another endpoint, in milliseconds. */
  readonly freshMs: number
  /** Time until the caller's deadline, in milliseconds. */
  readonly leftMs: number
}

/**
 * Decides whether the task or the endpoint causes an overrun, by the same kind of evidence as for
 * crashes: how the same task does on other endpoints, and how other tasks do on the same endpoint.
 *
 * Without it, a job whose estimate is far too low would be stopped on one healthy endpoint after
 * another until its deadline.
 *
 * @internal
 */
export function decideOverrun(evidence: OverrunEvidence): OverrunDecision {
  const { otherEndpoints, isEndpointSound, freshMs, leftMs } = evidence
  if (otherEndpoints > 0 || isEndpointSound) return OverrunDecision.Continue
  return freshMs > leftMs ? OverrunDecision.Continue : OverrunDecision.Stop
}
