import type { Job } from '../jobs/Job'

/** A job that is not taken, and by how much it would have started too late, in milliseconds. @public */
export interface RefusedJob {
  readonly job: Job
  readonly lateByMs: number
}

/** What is decided over jobs that are new. @public */
export interface AdmissionDecision {
  readonly admitted: readonly Job[]
  readonly refused: readonly RefusedJob[]
  /** Places that were taken by forecast for it: what the decision cost. */
  readonly placesForecast: number
}

/** What is known when new jobs come. @public */
export interface AdmissionInput {
  /** All waiting jobs of one service, in the order in which they get places. */
  readonly ranked: readonly Job[]
  readonly places: Places
}

/** The places of a service; what they are is worked out once somebody asks. @public */
export abstract class Places {
  /** How many are free now. */
  abstract get free(): number
  /** When each becomes free, the earliest first; now for those that are free. */
  abstract all(): readonly number[]
}

/** Decides which new jobs are taken in, and which are refused as not run. @public */
export abstract class JobAdmission {
  abstract decide(now: number, input: AdmissionInput): AdmissionDecision
}

/** Whether nothing was decided over a job yet. */
export function isNew(job: Job): boolean {
  return !job.isAdmitted
}
