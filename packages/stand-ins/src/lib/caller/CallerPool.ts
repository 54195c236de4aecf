import http from 'node:http'
import { Effect, Fiber } from 'effect'
import type { Scope } from 'effect'
import type { CallerAttempt } from '../ledger/CallerLedger'
import { presentTime } from '../util/presentTime'
import type { JobRequest } from './JobRequest'
import { StandInCaller, defaultStandInCallerOptions } from './StandInCaller'
import type { StandInCallerOptions } from './StandInCaller'

/** @public */
export type CallerPoolInput = Partial<StandInCallerOptions> &
  Pick<StandInCallerOptions, 'balancer' | 'ledger'> & {
    /** Bearer tokens by caller's name; a caller without one sends its name. */
    readonly tokens?: ReadonlyMap<string, string>
  }

/** Callers by name that share their connections. @public */
export class CallerPool {
  private readonly callers = new Map<string, StandInCaller>()

  /** @internal */
  constructor(
    private readonly options: StandInCallerOptions,
    private readonly tokens: ReadonlyMap<string, string>,
  ) {}

  /** Submits as the caller that the job names. */
  submit(job: JobRequest, dueAt?: number): Effect.Effect<CallerAttempt> {
    return Effect.suspend(() => this.caller(job.caller).submit(job, dueAt))
  }

  /**
   * Submits each job at its time, whether or not earlier ones were answered, and ends when
   * all of them ended. Response times count from the time each was due.
   */
  play(jobs: Iterable<JobRequest>): Effect.Effect<void> {
    const submit = (job: JobRequest, dueAt: number): Effect.Effect<unknown> =>
      this.submit(job, dueAt)
    return Effect.scoped(
      Effect.gen(function* () {
        const startedAt = presentTime()
        const fibers = []
        for (const job of jobs) {
          const dueAt = startedAt + job.arrivalMs
          const waitMs = dueAt - presentTime()
          if (waitMs >= 1) yield* Effect.sleep(waitMs)
          fibers.push(yield* Effect.forkScoped(submit(job, dueAt)))
        }
        for (const fiber of fibers) yield* Effect.exit(Fiber.join(fiber))
      }),
    )
  }

  private caller(name: string): StandInCaller {
    const known = this.callers.get(name)
    if (known !== undefined) return known
    const token = this.tokens.get(name) ?? this.options.token
    const caller = new StandInCaller(name, { ...this.options, token })
    this.callers.set(name, caller)
    return caller
  }
}

/** Makes a pool whose connections close with the scope. @public */
export function callerPool(input: CallerPoolInput): Effect.Effect<CallerPool, never, Scope.Scope> {
  return Effect.gen(function* () {
    const agent = yield* Effect.acquireRelease(
      Effect.sync(() => new http.Agent({ keepAlive: true })),
      (opened) =>
        Effect.sync(() => {
          opened.destroy()
        }),
    )
    const options = { ...defaultStandInCallerOptions, agent, ...input }
    return new CallerPool(options, input.tokens ?? new Map<string, string>())
  })
}
