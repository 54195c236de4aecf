/** How a request to run a task at an endpoint ended. @public */
export enum RunResultKind {
  /** 200: the task ran and returned its output. */
  Succeeded = 'succeeded',
  /** 500 with `ran: yes`: the task ran and failed. */
  Failed = 'failed',
  /** Refused with `ran: no`, fenced, or the connection was never established. */
  NotRun = 'not_run',
  /** 410: the task ended, and the endpoint no longer has its answer. */
  Unknown = 'unknown',
  /** The connection broke when the request may already have been received. */
  Lost = 'lost',
}

/** @public */
export interface RunResult {
  readonly kind: RunResultKind
  /** JSON text of the output; empty unless the task succeeded. */
  readonly output: string
  /** Human-readable explanation, one sentence. */
  readonly detail: string
  /** Run time as measured by the endpoint, in milliseconds; 0 if unknown. */
  readonly runMs: number
  /** Whether the endpoint answered at all, even with a refusal. */
  readonly answered: boolean
}

/** State of a task, as an endpoint reports it in answer to a stop request. @public */
export enum StopState {
  /** The endpoint never started it, and has now fenced its id. */
  NeverSeen = 'never_seen',
  /** It was running and is stopped now. */
  Stopped = 'stopped',
  /** It had ended before. */
  Ended = 'ended',
  /** The endpoint did not answer. */
  NoAnswer = 'no_answer',
}

/** @public */
export interface StopResult {
  readonly taskId: string
  readonly state: StopState
}
