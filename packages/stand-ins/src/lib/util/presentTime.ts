import { performance } from 'node:perf_hooks'

/** Milliseconds since the epoch, monotonic; processes of one machine agree closely. @internal */
export function presentTime(): number {
  return performance.timeOrigin + performance.now()
}
