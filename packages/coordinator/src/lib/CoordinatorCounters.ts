/** What a coordinator counts; metrics read it. @public */
export interface CoordinatorCounters {
  submitted: number
  refused: number
  succeeded: number
  failed: number
  cancelled: number
  /** Callers whose connection closed before the answer. */
  callersGone: number
  tasksPlaced: number
  /** Of these, tasks placed again after they were truly not run. */
  tasksPlacedAgain: number
  placeMessages: number
  cancelMessages: number
  fenceMessages: number
  reports: number
  /** Reports for jobs that had ended. */
  lateReports: number
  /** Reports for tasks that already had a result, or from an owner that gave its word before. */
  repeatedReports: number
  /** Reports for jobs of another coordinator or boot, or for tasks that do not exist. */
  foreignReports: number
  /** Reports from an owner that another one passed the task on to. */
  passedOnReports: number
  /** Owners lost with tasks of ours in flight. */
  ownersLost: number
  /** Tasks whose outcome stays unknown because their owner was lost. */
  tasksLost: number
  /** Requests sent on to other instances, resends included. */
  forwards: number
  /** Replies from other instances that nobody waits for. */
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
