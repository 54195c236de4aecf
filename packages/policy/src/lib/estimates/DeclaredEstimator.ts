import { RunTimeEstimator } from './RunTimeEstimator'
import type { EstimateSubject } from './RunTimeEstimator'
import type { RunTimeSample } from './RunTimeSample'

/** Used without a declared run time: the middle of the typical range of 50 ms to 1 s. */
const DEFAULT_RUN_MS = 300

/** Baseline: uses the run time that the caller declares. @public */
export class DeclaredEstimator extends RunTimeEstimator {
  override estimate(subject: EstimateSubject): number {
    return subject.declaredMs > 0 ? subject.declaredMs : DEFAULT_RUN_MS
  }

  override observe(): void {
    // Observations are not used.
  }

  override observeAtLeast(): void {
    // Observations are not used.
  }

  override snapshot(): readonly RunTimeSample[] {
    return []
  }

  override merge(): void {
    // Observations are not used.
  }
}
