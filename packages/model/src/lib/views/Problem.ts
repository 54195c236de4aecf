/** Whether the work behind a refusal or failure ran. @public */
export enum ProblemRan {
  /** It truly did not run. */
  No = 'no',
  /** It may have run. */
  Unknown = 'unknown',
  /** It ran; only endpoints say so. */
  Yes = 'yes',
}

/** Problem document after RFC 9457, with our extension members. @public */
export interface Problem {
  readonly type: string
  readonly title: string
  readonly status: number
  readonly detail: string
  readonly ran: ProblemRan
  readonly jobId?: string
  /** When to come back, in seconds. */
  readonly retryAfter?: number
}
