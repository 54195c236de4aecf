import { DecayedSum } from '../util/DecayedSum'
import { HealthState } from './EndpointHealth'
import type { FailureMarks } from './FailureMarks'

/** Age at which an observation counts 1/e when endpoints are compared. */
const COMPARE_TAU_MS = 10_000
/** Age at which an ejection counts 1/e towards the length of the next. */
const EJECTION_TAU_MS = 300_000

/** What is known of one endpoint's health. @internal */
export class EndpointRecord {
  readonly successes = new DecayedSum(COMPARE_TAU_MS)
  readonly failures = new DecayedSum(COMPARE_TAU_MS)
  readonly ejections = new DecayedSum(EJECTION_TAU_MS)
  private ejectedUntil = 0
  private onProbation = false
  private probationSuccesses = 0

  constructor(
    readonly endpoint: string,
    readonly service: string,
    readonly marks: FailureMarks,
  ) {}

  state(now: number): HealthState {
    if (now < this.ejectedUntil) return HealthState.Ejected
    return this.onProbation ? HealthState.Probation : HealthState.Healthy
  }

  /** Failed share of what was seen lately; undefined when too little was seen. */
  failedShare(now: number, minSeen: number): number | undefined {
    const failed = this.failures.read(now)
    const seen = failed + this.successes.read(now)
    return seen < minSeen ? undefined : failed / seen
  }

  /** Takes all work away until an instant; single tasks follow. */
  eject(now: number, lengthMs: number): void {
    this.ejections.add(now, 1)
    this.ejectedUntil = now + lengthMs
    this.restrict()
  }

  /** Single tasks only, from now on. */
  restrict(): void {
    this.onProbation = true
    this.probationSuccesses = 0
    this.marks.clear()
  }

  /** Ends an ejection early; single tasks follow. */
  release(): void {
    this.ejectedUntil = 0
  }

  /** Counts a task that worked on probation, and ends it after enough of them. */
  passProbation(needed: number): void {
    this.probationSuccesses += 1
    if (this.probationSuccesses < needed) return
    this.onProbation = false
    this.marks.clear()
  }
}
