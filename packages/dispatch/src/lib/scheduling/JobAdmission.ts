import type { Job } from '../jobs/Job'
import type { SlotClass } from './SlotForecast'

/** A refused job, and by how many milliseconds it would have started too late. @public */
export interface RefusedJob {
  readonly job: Job
  readonly lateByMs: number
  /** Whether its queue uses more than its share, so that other queues' jobs go first. */
  readonly isBeyondShare: boolean
}

/** The outcome of an admission decision. @public */
export interface AdmissionDecision {
  readonly admitted: readonly Job[]
  readonly refused: readonly RefusedJob[]
  /** Jobs that only get slots that no job can use in time, from now on. */
  readonly late: readonly Job[]
  /** Slots assigned in the simulation, as a measure of the cost of the decision. */
  readonly slotsSimulated: number
}

/** Input of an admission decision. @public */
export interface AdmissionInput {
  /** All waiting jobs of one service, in the order in which they will be placed. */
  readonly ranked: readonly Job[]
  /** Those waiting jobs without a decision so far. */
  readonly undecided: readonly Job[]
  /** Number of waiting tasks of all waiting jobs. */
  readonly waitingTasks: number
  readonly slots: SlotSupply
  /**
   * Jobs beyond the share of their queue, with the milliseconds until that share has room for them.
   * They go after others, which may make them late.
   */
  readonly beyondShare: ReadonlyMap<Job, number>
  /** Slots that jobs beyond the share of their queue, and late jobs, leave free for others. */
  readonly headroomSlots: (job: Job) => number
  /** Whether jobs with a decision are examined again. */
  readonly isReview: boolean
}

/** The slots of a service; a slot has room for one task of average needs. @public */
export abstract class SlotSupply {
  /** Number of all slots, free or occupied. */
  abstract get size(): number
  /** Number of slots that are free now; counting may stop once `enough` is reached. */
  abstract countFree(enough: number): number
  /**
   * Number of slots that become free in each millisecond from now; counting of those that are free
   * now may stop once `enough` is reached.
   */
  abstract freeByMs(enough: number): Int32Array
  /** The same by speed, fastest first; all slots are of average speed by default. */
  classes(enough: number): readonly SlotClass[] {
    return [{ freeByMs: this.freeByMs(enough), slowness: 1 }]
  }
}

/** Decides which new jobs are admitted, and which are refused and reported as not run. @public */
export abstract class JobAdmission {
  abstract decide(now: number, input: AdmissionInput): AdmissionDecision
}
