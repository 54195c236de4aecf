import { performance } from 'node:perf_hooks'

/**
 * Source of the current time. Only code that does I/O reads it; state machines and policies get the
 * time as an argument.
 *
 * @public
 */
export interface Clock {
  /** Milliseconds since the epoch; never runs backwards within a process. */
  now(): number
}

/**
 * When this process was launched, in milliseconds of `systemClock`. Earlier processes of its instance
 * had ended by then.
 *
 * @public
 */
export const launchedAt: number = performance.timeOrigin

/** Wall-clock time at process start, advanced by the monotonic clock. @public */
export const systemClock: Clock = {
  now: () => performance.timeOrigin + performance.now(),
}
