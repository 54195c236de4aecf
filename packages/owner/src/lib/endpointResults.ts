/** How a request to run a task at an endpoint ended. @public */
export enum RunResultKind {
  /** 200: it ran and answered. */
  Succeeded = 'succeeded',
  /** 500 with `ran: yes`: it ran and failed. */
  Failed = 'failed',
  /** Refused with `ran: no`, fenced, or the connection was never made. */
  NotRun = 'not_run',
  /** 410: it ended, and the endpoint forgot its answer. */
  Unknown = 'unknown',
  /** The connection broke after the request was on its way. */
  Lost = 'lost',
}

/** @public */
export interface RunResult {
  readonly kind: RunResultKind
  /** JSON text of the output; empty unless it succeeded. */
  readonly output: string
  /** One sentence for people. */
  readonly detail: string
  /** Run time as the endpoint measured it, in milliseconds; 0 when unknown. */
  readonly runMs: number
  /** Whether the endpoint answered at all, if only with a refusal. */
  readonly answered: boolean
}

/** What an endpoint says of a task it was told to stop. @public */
export enum StopState {
  /** It was never started here, and is fenced now. */
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
