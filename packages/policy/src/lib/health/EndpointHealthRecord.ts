import { DecayedSum } from '../util/DecayedSum'
import { HealthState } from './EndpointHealth'
import type { WeightedFailures } from './WeightedFailures'

/** Age at which a result has decayed to 1/e in the comparison of endpoints. */
const COMPARE_TAU_MS = 10_000
/** Age at which an ejection has decayed to 1/e in the length of the next one. */
const EJECTION_TAU_MS = 300_000

/** Recent results and ejection state of one endpoint. @internal */
export class EndpointHealthRecord {
  readonly successes = new DecayedSum(COMPARE_TAU_MS)
  readonly failures = new DecayedSum(COMPARE_TAU_MS)
  readonly ejections = new DecayedSum(EJECTION_TAU_MS)
  private ejectedUntil = 0
  private onProbation = false
  private probationSuccesses = 0

  constructor(
    readonly endpoint: string,
    readonly service: string,
    readonly weightedFailures: WeightedFailures,
  ) {}

  state(now: number): HealthState {
    if (now < this.ejectedUntil) return HealthState.Ejected
    return this.onProbation ? HealthState.Probation : HealthState.Healthy
  }

  /** Recent failure rate, 0 to 1; undefined with fewer than `minObservations` recent results. */
  failureRate(now: number, minObservations: number): number | undefined {
    const failed = this.failures.read(now)
    const total = failed + this.successes.read(now)
    return total < minObservations ? undefined : failed / total
  }

  /** Ejects the endpoint for a time, after which it is on probation. */
  eject(now: number, lengthMs: number): void {
    this.ejections.add(now, 1)
    this.ejectedUntil = now + lengthMs
    this.startProbation()
  }

  /** Limits the endpoint to one task at a time, starting now. */
  startProbation(): void {
    this.onProbation = true
    this.probationSuccesses = 0
    this.weightedFailures.clear()
  }

  /** Ends an ejection early; the endpoint stays on probation. */
  endEjection(): void {
    this.ejectedUntil = 0
  }

  /** Counts a successful task during probation, and ends the probation after enough of them. */
  recordProbationSuccess(needed: number): void {
    this.probationSuccesses += 1
    if (this.probationSuccesses < needed) return
    this.onProbation = false
    this.weightedFailures.clear()
  }
}
