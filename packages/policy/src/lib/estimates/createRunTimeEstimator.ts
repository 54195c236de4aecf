import { LearnedEstimator } from './LearnedEstimator'
import type { RunTimeEstimator } from './RunTimeEstimator'

/** Creates the estimator that coordinators use. @public */
export function createRunTimeEstimator(): RunTimeEstimator {
  return new LearnedEstimator()
}
