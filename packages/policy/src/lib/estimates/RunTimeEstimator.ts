import type { RunTimeSample } from './RunTimeSample'

/** Attributes of a task that an estimate may depend on. @public */
export interface EstimateSubject {
  readonly caller: string
  readonly service: string
  /** Declared by the caller, in milliseconds; 0 when it declared none. */
  readonly declaredMs: number
}

/** Estimates run times of tasks. @public */
export abstract class RunTimeEstimator {
  /** @returns milliseconds, above 0 */
  abstract estimate(subject: EstimateSubject): number
  /** Learns from a task that ran to its end. */
  abstract observe(now: number, subject: EstimateSubject, runMs: number): void
  /** Learns from a task of which only a lower bound of its run time is known. */
  abstract observeAtLeast(now: number, subject: EstimateSubject, runMs: number): void
  /** Everything that was learnt, for another instance; the least recently used comes first. */
  abstract snapshot(now: number): readonly RunTimeSample[]
  /** Takes over what another instance has learnt, unless it was learnt here more recently. */
  abstract merge(now: number, samples: readonly RunTimeSample[]): void
}
