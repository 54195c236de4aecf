/** Whether the requested work ran, for a refusal or failure. @public */
export enum ProblemRan {
  /** It certainly did not run. */
  No = 'no',
  /** It may have run. */
  Unknown = 'unknown',
  /** It ran. Only sent by endpoints. */
  Yes = 'yes',
}

/** Problem document of RFC 9457 with extension members. @public */
export interface Problem {
  readonly type: string
  readonly title: string
  readonly status: number
  readonly detail: string
  readonly ran: ProblemRan
  readonly jobId?: string
  /** Time after which to retry, in seconds. */
  readonly retryAfter?: number
}
