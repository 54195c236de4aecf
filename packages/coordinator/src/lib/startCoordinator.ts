import type { SpanRecord } from '@cherryhitch/model'
import { exhaustive } from '@cherryhitch/model'
import type { ClaimEnd, Envelope, JobAnswer, JobSpec, KeyClaim } from '@cherryhitch/protocol'
import type { Clock } from '@cherryhitch/runtime'
import { startActor, systemClock } from '@cherryhitch/runtime'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { CoordinatorAction } from './CoordinatorAction'
import { CoordinatorActionKind } from './CoordinatorAction'
import type { CoordinatorCounters } from './CoordinatorCounters'
import type { CoordinatorEvent } from './CoordinatorEvent'
import { CoordinatorEventKind } from './CoordinatorEvent'
import { CoordinatorMachine } from './CoordinatorMachine'
import type { CoordinatorOptions } from './CoordinatorOptions'

/** Interval at which timers are checked. Short compared with a task of 50 ms. */
const TICK_MS = 20

/** @public */
export interface StartCoordinatorOptions extends CoordinatorOptions {
  /** Sends a message to an instance. Messages to this instance are delivered locally. */
  readonly send: (to: string, envelope: Envelope) => void
  /** Claims a submission key; the host answers with a ClaimAnswered event. */
  readonly claim: (claim: KeyClaim) => void
  readonly endClaim: (end: ClaimEnd) => void
  readonly onSpan: (span: SpanRecord) => void
  /** Called once, when a coordinator that was told to drain has nothing left to do. */
  readonly onDrained: () => void
  readonly log: (line: string) => void
  /** Called when an unexpected exception has stopped the coordinator. It handles no more events. */
  readonly onDefect?: (defect: unknown) => void
  readonly clock?: Clock
}

/** A caller's query about a job. @public */
export interface JobQuestion {
  readonly jobId: string
  readonly caller: string
  readonly cancel: boolean
  readonly wait: boolean
}

/** A running coordinator. @public */
export interface CoordinatorActor {
  /** Interrupting the effect tells the coordinator that the caller has disconnected. */
  readonly submit: (job: JobSpec, respondAsync: boolean) => Effect.Effect<JobAnswer>
  /** Undefined if the job is unknown or belongs to another caller. */
  readonly query: (question: JobQuestion) => Effect.Effect<JobAnswer | undefined>
  readonly tell: (event: CoordinatorEvent) => void
  readonly jobs: () => readonly JobAnswer[]
  readonly counters: () => Readonly<CoordinatorCounters>
  readonly jobsInFlight: () => number
  /** Number of events waiting in the mailbox. */
  readonly backlog: () => number
}

type Resume = (answer: JobAnswer | undefined) => void

/** Requests of connected callers that have not been answered yet. */
class PendingRequests {
  private readonly resumes = new Map<string, Resume>()
  private lastRequest = 0

  open(resume: Resume): string {
    const requestId = `r${++this.lastRequest}`
    this.resumes.set(requestId, resume)
    return requestId
  }

  answer(requestId: string, answer: JobAnswer | undefined): void {
    const resume = this.resumes.get(requestId)
    this.resumes.delete(requestId)
    resume?.(answer)
  }

  close(requestId: string): void {
    this.resumes.delete(requestId)
  }
}

function perform(
  action: CoordinatorAction,
  options: StartCoordinatorOptions,
  requests: PendingRequests,
): void {
  switch (action.kind) {
    case CoordinatorActionKind.Send:
      options.send(action.to, action.envelope)
      return
    case CoordinatorActionKind.Reply:
      requests.answer(action.requestId, action.answer)
      return
    case CoordinatorActionKind.Claim:
      options.claim(action.claim)
      return
    case CoordinatorActionKind.EndClaim:
      options.endClaim(action.end)
      return
    case CoordinatorActionKind.Span:
      options.onSpan(action.span)
      return
    case CoordinatorActionKind.Drained:
      options.log('drained: no jobs in flight')
      options.onDrained()
      return
    default:
      exhaustive(action)
  }
}

/**
 * Starts the coordinator of this instance; it ends with the scope.
 *
 * @public
 */
export function startCoordinator(
  options: StartCoordinatorOptions,
): Effect.Effect<CoordinatorActor, never, Scope.Scope> {
  return Effect.gen(function* () {
    const clock = options.clock ?? systemClock
    const machine = new CoordinatorMachine(options)
    const requests = new PendingRequests()
    const part = yield* startActor(machine, {
      tickMs: TICK_MS,
      clock,
      perform: (action) => {
        perform(action, options, requests)
      },
      onDefect: (defect) => {
        options.log(`stopped by a defect: ${String(defect)}`)
        options.onDefect?.(defect)
      },
    })
    const request = (makeEvent: (requestId: string) => CoordinatorEvent) =>
      Effect.callback<JobAnswer | undefined>((resume) => {
        const requestId = requests.open((answer) => {
          resume(Effect.succeed(answer))
        })
        part.tell(makeEvent(requestId))
        return Effect.sync(() => {
          requests.close(requestId)
          part.tell({ kind: CoordinatorEventKind.CallerGone, requestId })
        })
      })
    return {
      submit: (job, respondAsync) =>
        Effect.map(
          request((requestId) => ({
            kind: CoordinatorEventKind.Submit,
            requestId,
            job,
            respondAsync,
          })),
          requireAnswer,
        ),
      query: (question) =>
        request((requestId) => ({ kind: CoordinatorEventKind.Query, requestId, ...question })),
      tell: part.tell,
      jobs: () => machine.jobs(),
      counters: () => machine.counters,
      jobsInFlight: () => machine.jobsInFlight,
      backlog: part.backlog,
    }
  })
}

/** A submitted job always gets an answer; only a query about an unknown job gets none. */
function requireAnswer(answer: JobAnswer | undefined): JobAnswer {
  if (answer === undefined)
    throw new Error('coordinator replied to a submitted job without an answer')
  return answer
}
