import { performance } from 'node:perf_hooks'

/** Source of the present time; only shells read it, decisions get it as an argument. @public */
export interface Clock {
  /** Milliseconds since the epoch; never runs backwards within a process. */
  now(): number
}

/** Wall clock at the start of the process, moved on by the monotonic clock. @public */
export const systemClock: Clock = {
  now: () => performance.timeOrigin + performance.now(),
}
