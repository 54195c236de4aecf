import { DeclaredEstimator } from './DeclaredEstimator'
import type { RunTimeEstimator } from './RunTimeEstimator'

/** Makes the estimator that coordinators use. @public */
export function createRunTimeEstimator(): RunTimeEstimator {
  return new DeclaredEstimator()
}
