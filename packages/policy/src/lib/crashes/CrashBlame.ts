/** What the losses of endpoints say of a task that ran on them. @public */
export enum TaskStanding {
  /** Nothing speaks against it. */
  Clear = 'clear',
  /** An endpoint was lost under it: it may be the cause, and runs apart from other tasks. */
  Suspect = 'suspect',
  /** It isn't started until more is known of the endpoints that were lost under it. */
  Held = 'held',
  /** It takes down the endpoints that start it, and isn't started again. */
  Culprit = 'culprit',
}

/** An endpoint that was lost while a task ran there. @public */
export interface LossUnderTask {
  /** Another life of the endpoint has begun: what was lost was not the way to it. */
  readonly isCrash: boolean
  /** Many others were lost at the same time, so that no task of one endpoint was the cause. */
  readonly isShared: boolean
  /** It is not known whether the task had begun there. */
  readonly isPossible: boolean
}

/**
 * Tells tasks that take endpoints down from those that merely ran beside one, or on an endpoint that
 * was lost for another reason.
 *
 * @public
 */
export abstract class CrashBlame {
  abstract standing(losses: readonly LossUnderTask[]): TaskStanding
}
