import type { PresetDefinition } from '@cherryhitch/protocol'

/** Limits on the state that a coordinator keeps. @public */
export interface CoordinatorLimits {
  /** Maximum number of tasks in one job. */
  readonly tasksPerJob: number
  /** Maximum number of answers kept for later queries and for resends with a key. */
  readonly keptAnswers: number
  /** Maximum number of characters in all kept answers together, with a fixed overhead for each. */
  readonly keptAnswerChars: number
  /** Maximum number of jobs listed for operators. */
  readonly listedJobs: number
  /** Maximum number of jobs remembered as not run that ended before their claim was answered. */
  readonly abandonedClaims: number
  /** Maximum number of cancellations buffered for one unreachable owner until it is reachable. */
  readonly pendingCancelsPerOwner: number
}

/** @public */
export const defaultCoordinatorLimits: CoordinatorLimits = {
  tasksPerJob: 10_000,
  keptAnswers: 20_000,
  keptAnswerChars: 64 * 1024 * 1024,
  listedJobs: 500,
  abandonedClaims: 10_000,
  pendingCancelsPerOwner: 10_000,
}

/** Durations in milliseconds. @public */
export interface CoordinatorTiming {
  /** How long an endpoint keeps running a task without a lease renewal from the task's owner. */
  readonly leaseMs: number
  /** Added to the lease before a lost owner's tasks count as stopped, to allow for clock drift. */
  readonly leaseMarginMs: number
  /** Offers of an owner silent for longer are used only if the service has no others. */
  readonly ownerSilenceLimitMs: number
  /** Time to the deadline of a job that was submitted without one. */
  readonly defaultDeadlineMs: number
  readonly maxDeadlineMs: number
  /** How much earlier than the caller's deadline the deadline sent to owners is. */
  readonly ownerDeadlineMarginMs: number
  /** How long answers of ended jobs are kept. */
  readonly answerRetentionMs: number
  /** Time after which a request to another instance is resent if it was not answered. */
  readonly forwardTimeoutMs: number
  /** How long a task waits for a new owner after its owner drained or lost its endpoints. */
  readonly newOwnerWaitMs: number
  /** How long a draining coordinator holds an answer that no caller has fetched yet. */
  readonly drainAnswerHoldMs: number
  /**
   * Minimum time after a placement at which the owner is queried about tasks without a report. The
   * interval between queries about one job starts at this value and doubles with each query.
   */
  readonly lateTaskQueryMs: number
  /** Maximum time until the first query, however long the tasks are expected to take. */
  readonly lateTaskQueryMaxMs: number
  /**
   * An owner's report that it has never seen a task is trusted only if the task was placed within
   * this time. It must be shorter than the 60 s for which owners remember ended tasks, because an
   * owner that has forgotten an ended task also reports it as never seen.
   */
  readonly fenceTrustMs: number
  /** Maximum interval between queries about one job and between resends of a forwarded request. */
  readonly maxQueryIntervalMs: number
  /** Minimum interval between cancellation messages to one owner; each carries a batch. */
  readonly cancelBatchMs: number
}

/** @public */
export const defaultCoordinatorTiming: CoordinatorTiming = {
  leaseMs: 3000,
  leaseMarginMs: 300,
  ownerSilenceLimitMs: 1500,
  defaultDeadlineMs: 30_000,
  maxDeadlineMs: 3_600_000,
  ownerDeadlineMarginMs: 25,
  answerRetentionMs: 300_000,
  forwardTimeoutMs: 2000,
  newOwnerWaitMs: 1000,
  drainAnswerHoldMs: 5000,
  lateTaskQueryMs: 1000,
  lateTaskQueryMaxMs: 20_000,
  fenceTrustMs: 50_000,
  maxQueryIntervalMs: 8000,
  cancelBatchMs: 20,
}

/** @public */
export interface CoordinatorOptions {
  readonly instance: string
  readonly zone: string
  /** Boot number of this process; part of every job id. */
  readonly boot: number
  /** Preset that applies until the first Preset event. */
  readonly preset: PresetDefinition
  /** Relative share of the limits for each caller; the weight of a caller not listed is 1. */
  readonly callerWeights?: ReadonlyMap<string, number>
  readonly limits?: Partial<CoordinatorLimits>
  readonly timing?: Partial<CoordinatorTiming>
}
