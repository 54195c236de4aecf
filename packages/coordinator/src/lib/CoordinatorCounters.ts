/** Counters of a coordinator, exported as metrics. @public */
export interface CoordinatorCounters {
  submitted: number
  refused: number
  succeeded: number
  failed: number
  cancelled: number
  /** Callers that disconnected before they got an answer. */
  callersGone: number
  tasksPlaced: number
  /** The part of `tasksPlaced` that was placed again after an earlier attempt did not run. */
  tasksPlacedAgain: number
  placeMessages: number
  cancelMessages: number
  fenceMessages: number
  reports: number
  /** Reports for jobs that had already ended. */
  lateReports: number
  /** Reports for tasks that already had a result, or from an owner that had already reported. */
  repeatedReports: number
  /** Reports for jobs of another coordinator or boot, or for tasks that do not exist. */
  foreignReports: number
  /** Reports from an owner to which another owner had passed the task on. */
  passedOnReports: number
  /** Owners that were lost or restarted with tasks of this coordinator in flight. */
  ownersLost: number
  /** Tasks whose outcome stays unknown because their owner was lost. */
  tasksLost: number
  /** Requests forwarded to other instances, including resends. */
  forwards: number
  /** Replies from other instances to requests that are not pending. */
  strayReplies: number
  claims: number
  /** Resends that joined a running job or got a kept answer. */
  keyHits: number
}

/** @internal */
export function createCounters(): CoordinatorCounters {
  return {
    submitted: 0,
    refused: 0,
    succeeded: 0,
    failed: 0,
    cancelled: 0,
    callersGone: 0,
    tasksPlaced: 0,
    tasksPlacedAgain: 0,
    placeMessages: 0,
    cancelMessages: 0,
    fenceMessages: 0,
    reports: 0,
    lateReports: 0,
    repeatedReports: 0,
    foreignReports: 0,
    passedOnReports: 0,
    ownersLost: 0,
    tasksLost: 0,
    forwards: 0,
    strayReplies: 0,
    claims: 0,
    keyHits: 0,
  }
}
