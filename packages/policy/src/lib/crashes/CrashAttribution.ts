/**
 * How strongly the endpoints lost while a task ran on them suggest that the task crashed them.
 *
 * @public
 */
export enum CrashSuspicion {
  /** No loss points to the task. */
  Clear = 'clear',
  /**
   * An endpoint was lost while the task ran there. The task may be the cause and is isolated from
   * other tasks.
   */
  Suspect = 'suspect',
  /** Not started again until more is known about the endpoints lost while it ran. */
  Held = 'held',
  /** Crashes the endpoints that run it; never started again. */
  Culprit = 'culprit',
}

/** The loss of an endpoint on which a task was running. @public */
export interface EndpointLoss {
  /** The endpoint has restarted, so the process ended rather than the connection to it. */
  readonly isCrash: boolean
  /**
   * Many other endpoints were lost at the same time, so a task on a single endpoint was not the
   * cause.
   */
  readonly isShared: boolean
  /** It is not known whether the task had started there. */
  readonly isPossible: boolean
}

/**
 * Distinguishes tasks that crash endpoints from tasks that merely ran beside such a task, or ran on
 * an endpoint that was lost for another reason.
 *
 * @public
 */
export abstract class CrashAttribution {
  abstract suspicionOf(losses: readonly EndpointLoss[]): CrashSuspicion
}
