import { DispatchMachine, playLoad } from '@cherryhitch/dispatch'
import type { LoadOutcome } from '@cherryhitch/dispatch'

/** One play of the load model. */
export interface LoadCase {
  readonly endpoints: number
  /** Arriving work over what the places can do. */
  readonly load: number
  readonly seed: number
  readonly playMs: number
}

/** What a play cost, and what callers got. */
export interface LoadRow extends LoadCase {
  /** Processor time of all of the leader's steps, in seconds. */
  readonly stepSeconds: number
  /** The same for each task that was started, in microseconds. */
  readonly startUs: number
  /** The 99.9th percentile of a step, in milliseconds: the longest ones are the machine's own pauses. */
  readonly longStepMs: number
  readonly outcome: LoadOutcome
}

const NS_PER_MS = 1e6
const NS_PER_US = 1e3
const LONG_SHARE = 0.999

/** Times the steps of all dispatchers of this process. */
class StepTimer {
  readonly #steps: number[] = []
  #isInside = false

  /** Wraps a step, so that it is timed; one within another counts once. */
  around<R>(step: () => R): R {
    if (this.#isInside) return step()
    this.#isInside = true
    const startedAt = process.hrtime.bigint()
    try {
      return step()
    } finally {
      this.#steps.push(Number(process.hrtime.bigint() - startedAt))
      this.#isInside = false
    }
  }

  /** The times since the last call, in nanoseconds, the shortest first. */
  take(): readonly number[] {
    return this.#steps.splice(0).sort((a, b) => a - b)
  }
}

const timer = new StepTimer()

/** A dispatcher whose steps are timed. */
class TimedMachine extends DispatchMachine {
  override step(...args: Parameters<DispatchMachine['step']>) {
    return timer.around(() => super.step(...args))
  }

  override stepAll(...args: Parameters<DispatchMachine['stepAll']>) {
    return timer.around(() => super.stepAll(...args))
  }

  override tick(now: number) {
    return timer.around(() => super.tick(now))
  }
}

/** Plays a case of the load model, and measures what deciding took of the processor. */
export function measureLoad(one: LoadCase): LoadRow {
  timer.take()
  const outcome = playLoad({ ...one, makeMachine: (options) => new TimedMachine(options) })
  const steps = timer.take()
  const sumNs = steps.reduce((sum, ns) => sum + ns, 0)
  const longNs = steps[Math.floor(steps.length * LONG_SHARE)] ?? 0
  return {
    ...one,
    stepSeconds: sumNs / (NS_PER_MS * 1_000),
    startUs: sumNs / NS_PER_US / Math.max(1, outcome.counted.starts),
    longStepMs: longNs / NS_PER_MS,
    outcome,
  }
}
