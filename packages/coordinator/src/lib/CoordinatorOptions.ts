import type { PresetDefinition } from '@cherryhitch/protocol'

/** Bounds on what a coordinator keeps. @public */
export interface CoordinatorLimits {
  /** Tasks that one job may have. */
  readonly tasksPerJob: number
  /** Answers kept for later questions and for resends with a key. */
  readonly keptAnswers: number
  /** Characters of output in all kept answers together. */
  readonly keptAnswerChars: number
  /** Jobs in the list for operators. */
  readonly listedJobs: number
  /** Claims given up before their outcome was known, whose "not run" is remembered. */
  readonly abandonedClaims: number
  /** Jobs whose cancellation is kept for one silent owner until its link is back. */
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

/** All in milliseconds. @public */
export interface CoordinatorTiming {
  /** How long an endpoint runs a task on without a renewal from its owner. */
  readonly leaseMs: number
  /** Added to the lease before a lost owner's tasks count as stopped: clocks drift. */
  readonly leaseMarginMs: number
  /** Offers of an owner that was silent for longer are used only when there is no other. */
  readonly ownerSilenceLimitMs: number
  /** Deadline of a job that names none. */
  readonly defaultDeadlineMs: number
  readonly maxDeadlineMs: number
  /** How much earlier than the caller's the deadline is that owners are told. */
  readonly ownerDeadlineMarginMs: number
  /** How long answers are kept. */
  readonly answerRetentionMs: number
  /** How long another instance may take before it is asked again. */
  readonly forwardTimeoutMs: number
  /** How long a task whose owner drains or lost its endpoints waits for another owner. */
  readonly ownerPatienceMs: number
  /** While it drains, an answer that nobody fetched yet is held for this long. */
  readonly drainAnswerHoldMs: number
  /** A task this much later than expected is asked after at its owner. */
  readonly askAfterMs: number
  /** The first question comes after this at the latest, however long the wait is expected to be. */
  readonly askAfterMaxMs: number
  /**
   * An owner's "never seen" counts for tasks placed this lately. It has to be shorter than owners
   * remember ended tasks, which is 60 s: one that forgot a task would seem never to have seen it.
   */
  readonly fenceTrustMs: number
  /** Longest time between two such questions about one job. */
  readonly askEveryMaxMs: number
  /** Least time between two messages of cancellations to one owner; waves are sent together. */
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
  ownerPatienceMs: 1000,
  drainAnswerHoldMs: 5000,
  askAfterMs: 1000,
  askAfterMaxMs: 20_000,
  fenceTrustMs: 50_000,
  askEveryMaxMs: 8000,
  cancelBatchMs: 20,
}

/** @public */
export interface CoordinatorOptions {
  readonly instance: string
  readonly zone: string
  /** Boot number of this process; part of each job id. */
  readonly boot: number
  /** In force until the first Preset event. */
  readonly preset: PresetDefinition
  /** Share of the limits that a caller gets, against the others; 1 where none is given. */
  readonly callerWeights?: ReadonlyMap<string, number>
  readonly limits?: Partial<CoordinatorLimits>
  readonly timing?: Partial<CoordinatorTiming>
}
