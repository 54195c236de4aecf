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
  /** Those of them over which nothing was decided yet. */
  readonly newcomers: readonly Job[]
  /** Tasks of all of them that wait for a place. */
  readonly waitingTasks: number
  readonly places: Places
}

/** The places of a service. @public */
export abstract class Places {
  /** How many there are, free or not. */
  abstract get size(): number
  /** How many are free now; counting may end once there are enough. */
  abstract free(enough: number): number
  /** How many become free in each millisecond from now on; of those free now, enough are counted. */
  abstract freeByMs(enough: number): Int32Array
}

/** Decides which new jobs are taken in, and which are refused as not run. @public */
export abstract class JobAdmission {
  abstract decide(now: number, input: AdmissionInput): AdmissionDecision
}
