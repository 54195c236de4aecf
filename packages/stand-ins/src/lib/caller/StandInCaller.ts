import type http from 'node:http'
import { Effect, Option } from 'effect'
import { HttpFailureKind, requestJson } from '../http/requestJson'
import type { HttpFailure, JsonResponse } from '../http/requestJson'
import type { CallerAttempt, CallerLedger } from '../ledger/CallerLedger'
import { CallerOutcome } from '../ledger/CallerLedger'
import { DelayTimer } from '../util/DelayTimer'
import { presentTime } from '../util/presentTime'
import type { Balancer } from './Balancer'
import type { JobRequest } from './JobRequest'
import { jobBody } from './JobRequest'
import type { ResubmitRule } from './ResubmitRule'
import { NeverResubmit } from './ResubmitRule'
import type { AnswerReading } from './readAnswer'
import { readAnswer } from './readAnswer'

/** How a caller asks, and how it gives up. @public */
export enum SubmitStyle {
  /** Waits for the answer on one request; giving up closes the connection. */
  Wait = 'wait',
  /** Gets the job's id at once and asks after it; giving up deletes the job. */
  Ask = 'ask',
}

/** @public */
export interface StandInCallerOptions {
  readonly balancer: Balancer
  readonly ledger: CallerLedger
  readonly agent: http.Agent
  /** Bearer token; undefined sends the caller's name in a header. */
  readonly token: string | undefined
  /** Added to each message, each way, in milliseconds. */
  readonly networkDelayMs: number
  /** How long after the deadline it goes on waiting, in milliseconds. */
  readonly patienceMs: number
  readonly resubmit: ResubmitRule
  readonly style: SubmitStyle
}

/** @public */
export const defaultStandInCallerOptions: Omit<
  StandInCallerOptions,
  'balancer' | 'ledger' | 'agent'
> = {
  token: undefined,
  networkDelayMs: 0,
  patienceMs: 2000,
  resubmit: new NeverResubmit(),
  style: SubmitStyle.Wait,
}

interface Question {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: unknown
  readonly timeoutMs: number
}

interface Told {
  readonly instance: string
  readonly reading: AnswerReading
}

const ACCEPTED = 202
/** Pause between two questions about a running job. */
const ASK_PAUSE_MS = 50

function failureOutcome(kind: HttpFailureKind): CallerOutcome {
  switch (kind) {
    case HttpFailureKind.NotConnected:
      return CallerOutcome.NotConnected
    case HttpFailureKind.Broken:
      return CallerOutcome.Broken
    case HttpFailureKind.TimedOut:
      return CallerOutcome.TimedOut
  }
}

/** The question about a job that was taken is still to be answered. */
function isOpen({ outcome, status }: AnswerReading): boolean {
  const lost = outcome === CallerOutcome.Broken || outcome === CallerOutcome.NotConnected
  return lost || status === ACCEPTED
}

function untold(outcome: CallerOutcome, detail: string, jobId = ''): AnswerReading {
  return { outcome, status: 0, jobId, detail, retryAfterMs: 0, outputs: [] }
}

/** A caller: submits jobs through a balancer and writes down what it was told. @public */
export class StandInCaller {
  private readonly delays = new DelayTimer()
  /** The instance asked last, for the ledger of attempts that end without an answer. */
  private lastAsked = ''

  constructor(
    readonly name: string,
    private readonly options: StandInCallerOptions,
  ) {}

  /** Submits until the rule for resubmission gives up; returns the last attempt. */
  submit(job: JobRequest, dueAt = presentTime()): Effect.Effect<CallerAttempt> {
    const attemptFrom = (attempt: number): Effect.Effect<CallerAttempt> =>
      Effect.flatMap(this.attempt(job, attempt, dueAt), (done) => {
        const waitMs = this.options.resubmit.nextWaitMs(done, done.endedAt - dueAt)
        if (waitMs === undefined) return Effect.succeed(done)
        return Effect.andThen(
          Effect.sleep(waitMs),
          Effect.suspend(() => attemptFrom(attempt + 1)),
        )
      })
    return attemptFrom(1)
  }

  private attempt(job: JobRequest, attempt: number, dueAt: number): Effect.Effect<CallerAttempt> {
    return Effect.suspend(() => {
      const sentAt = presentTime()
      const ask = this.options.style === SubmitStyle.Wait ? this.wait(job) : this.askAfter(job)
      return Effect.map(ask, ({ instance, reading }) => {
        const { submission, caller, key, idempotent } = job
        const done: CallerAttempt = {
          submission,
          caller,
          key,
          idempotent,
          tokens: job.tasks.map((task) => task.token),
          attempt,
          instance,
          dueAt,
          sentAt,
          endedAt: presentTime(),
          ...reading,
        }
        this.options.ledger.recordAttempt(done)
        return done
      })
    })
  }

  /** Submits and waits on the same request; giving up closes its connection. */
  private wait(job: JobRequest): Effect.Effect<Told> {
    const told = this.tell(this.submission(job, {}))
    if (job.cancelAfterMs === undefined) return told
    return Effect.map(Effect.timeoutOption(told, job.cancelAfterMs), (ended) =>
      Option.getOrElse(ended, () => ({
        instance: this.lastAsked,
        reading: untold(CallerOutcome.Cancelled, 'hung up'),
      })),
    )
  }

  /** Submits, then asks any instance after the job; giving up deletes it. */
  private askAfter(job: JobRequest): Effect.Effect<Told> {
    return Effect.flatMap(this.tell(this.submission(job, { prefer: 'respond-async' })), (told) => {
      const { status, jobId } = told.reading
      if (status !== ACCEPTED || jobId === '') return Effect.succeed(told)
      const answer = this.askUntilEnded(
        jobId,
        presentTime() + job.deadlineMs + this.options.patienceMs,
      )
      if (job.cancelAfterMs === undefined) return answer
      return Effect.flatMap(Effect.timeoutOption(answer, job.cancelAfterMs), (ended) =>
        Option.isSome(ended) ? Effect.succeed(ended.value) : this.cancel(jobId),
      )
    })
  }

  /** Asks again after a broken connection: any instance can answer for the job. */
  private askUntilEnded(jobId: string, giveUpAt: number): Effect.Effect<Told> {
    const timeoutMs = Math.max(giveUpAt - presentTime(), 1)
    const path = `/v1/jobs/${jobId}?wait=true`
    const question: Question = { method: 'GET', path, headers: this.identity(), timeoutMs }
    return Effect.flatMap(this.tell(question), (told) => {
      if (!isOpen(told.reading) || presentTime() + ASK_PAUSE_MS >= giveUpAt) {
        return Effect.succeed(told)
      }
      return Effect.andThen(
        Effect.sleep(ASK_PAUSE_MS),
        Effect.suspend(() => this.askUntilEnded(jobId, giveUpAt)),
      )
    })
  }

  /** A cancelled job's answer says nothing that the check could hold it to. */
  private cancel(jobId: string): Effect.Effect<Told> {
    const { patienceMs: timeoutMs } = this.options
    const path = `/v1/jobs/${jobId}`
    const question: Question = { method: 'DELETE', path, headers: this.identity(), timeoutMs }
    return Effect.map(this.tell(question), ({ instance, reading }) => {
      const ended = reading.outcome === CallerOutcome.Answered
      const cancelled = untold(CallerOutcome.Cancelled, reading.detail, jobId)
      return { instance, reading: ended ? reading : cancelled }
    })
  }

  private submission(job: JobRequest, extra: Readonly<Record<string, string>>): Question {
    const headers: Record<string, string> = { ...this.identity(), ...extra }
    if (job.key !== '') headers['idempotency-key'] = job.key
    const timeoutMs = job.deadlineMs + this.options.patienceMs
    return { method: 'POST', path: '/v1/jobs', headers, body: jobBody(job), timeoutMs }
  }

  private identity(): Record<string, string> {
    const { token } = this.options
    if (token === undefined) return { 'cherryhitch-caller': this.name }
    return { authorization: `Bearer ${token}` }
  }

  /** Puts a question to the next ready instance; a refused connection goes to the one after. */
  private tell(question: Question): Effect.Effect<Told> {
    const send = Effect.suspend(() => this.sendToNext(question))
    return this.delay().pipe(
      Effect.andThen(send),
      Effect.tap(() => this.delay()),
    )
  }

  private sendToNext(question: Question): Effect.Effect<Told> {
    const instance = this.options.balancer.next()
    if (instance === undefined) {
      const reading = untold(CallerOutcome.NotConnected, 'no instance is ready')
      return Effect.succeed({ instance: '', reading })
    }
    this.lastAsked = instance
    this.options.ledger.recordRequest()
    const request = { ...question, address: instance, agent: this.options.agent }
    return Effect.matchEffect(requestJson(request), {
      onSuccess: (response: JsonResponse) =>
        Effect.succeed({ instance, reading: readAnswer(response) }),
      onFailure: (failure: HttpFailure) => this.takeFailure(question, instance, failure),
    })
  }

  private takeFailure(
    question: Question,
    instance: string,
    failure: HttpFailure,
  ): Effect.Effect<Told> {
    if (failure.kind === HttpFailureKind.NotConnected) {
      this.options.balancer.noteRefused(instance)
      return this.sendToNext(question)
    }
    const reading = untold(failureOutcome(failure.kind), failure.message)
    return Effect.succeed({ instance, reading })
  }

  private delay(): Effect.Effect<void> {
    const { networkDelayMs } = this.options
    if (networkDelayMs <= 0) return Effect.void
    return Effect.callback((resume) => {
      this.delays.after(networkDelayMs, () => {
        resume(Effect.void)
      })
    })
  }
}
