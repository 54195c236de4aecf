/** What a caller was left with after one attempt. @public */
export enum CallerOutcome {
  /** It got outputs; whether whole and its own is for the check to say. */
  Answered = 'answered',
  /** It was told `ran: no`. */
  NotRun = 'not_run',
  /** It was told `ran: unknown`. */
  Unknown = 'unknown',
  /** The connection broke before the answer. */
  Broken = 'broken',
  /** No instance took the connection: nothing was sent. */
  NotConnected = 'not_connected',
  TimedOut = 'timed_out',
  /** The caller gave it up itself. */
  Cancelled = 'cancelled',
  /** An answer that the interface does not allow. */
  Malformed = 'malformed',
}

/** What one output of an answer claims to be; empty where it says nothing. @public */
export interface OutputSeen {
  readonly token: string
  readonly taskId: string
}

/** One attempt at a submission: what the caller asked, and what it was told. @public */
export interface CallerAttempt {
  readonly submission: string
  readonly caller: string
  readonly key: string
  readonly idempotent: boolean
  /** Tokens asked for, in the order of the tasks. */
  readonly tokens: readonly string[]
  /** Counts from 1. */
  readonly attempt: number
  /** Instance that answered, or was asked last. */
  readonly instance: string
  /** When the load had it due, in milliseconds since the epoch; waits count from here. */
  readonly dueAt: number
  readonly sentAt: number
  readonly endedAt: number
  readonly outcome: CallerOutcome
  /** HTTP status; 0 without an answer. */
  readonly status: number
  /** As the answer names it; empty when it does not. */
  readonly jobId: string
  /** The problem document's reason, or the failure's text. */
  readonly detail: string
  /** Advice of a refusal, in milliseconds; 0 without one. */
  readonly retryAfterMs: number
  readonly outputs: readonly OutputSeen[]
}

/** A submission with all its attempts. @public */
export interface Submission {
  readonly submission: string
  readonly attempts: readonly CallerAttempt[]
  readonly last: CallerAttempt
  /** From due to the end of the last attempt, in milliseconds. */
  readonly responseMs: number
}

/** What stand-in callers asked and were told. @public */
export class CallerLedger {
  private readonly attemptList: CallerAttempt[] = []
  private requestCount = 0

  get attempts(): readonly CallerAttempt[] {
    return this.attemptList
  }

  /** HTTP requests that callers sent, questions and cancellations included. */
  get requests(): number {
    return this.requestCount
  }

  recordRequest(): void {
    this.requestCount++
  }

  recordAttempt(attempt: CallerAttempt): void {
    this.attemptList.push(attempt)
  }

  absorb(attempts: readonly CallerAttempt[], requests: number): void {
    for (const attempt of attempts) this.attemptList.push(attempt)
    this.requestCount += requests
  }

  /** Attempts gathered by submission, each in the order of their ends. */
  submissions(): readonly Submission[] {
    const groups = new Map<string, CallerAttempt[]>()
    for (const attempt of this.attemptList) {
      const group = groups.get(attempt.submission)
      if (group === undefined) groups.set(attempt.submission, [attempt])
      else group.push(attempt)
    }
    return [...groups].map(([submission, attempts]) => toSubmission(submission, attempts))
  }
}

function toSubmission(submission: string, attempts: readonly CallerAttempt[]): Submission {
  const last = attempts.reduce((a, b) => (b.endedAt >= a.endedAt ? b : a))
  const dueAt = Math.min(...attempts.map((attempt) => attempt.dueAt))
  return { submission, attempts, last, responseMs: last.endedAt - dueAt }
}
