import type { Mechanism } from '@cherryhitch/model'
import type { JobAdmission } from './scheduling/JobAdmission'
import type { JobOrder } from './scheduling/JobOrder'

/** Times of dispatching, in milliseconds. @public */
export interface DispatchTiming {
  /**
   * How long an endpoint goes on without word from here. At most what endpoints grant (1,000 on
   * the users' platform), less a margin for the way.
   */
  readonly leaseMs: number
  /** Longest lease that endpoints grant, whoever asks for it. */
  readonly maxGrantMs: number
  /** How long a start order stays valid; a late one is then refused by the endpoint. */
  readonly startOrderMs: number
  /** How long a hold waits for an end; three fit into a lease, so that one may be lost. */
  readonly holdWaitMs: number
  /**
   * The same at an endpoint where nothing runs: there is no lease to renew and no end to hear of, but
   * one that is gone should be known before tasks are ordered there. Two fit into a lease, since one
   * may get a run at once.
   */
  readonly idleHoldWaitMs: number
  /**
   * Endpoints where nothing runs are asked again together, at times this far apart: each frame to
   * an instance that carries orders costs more than the orders in it.
   */
  readonly idleGatherMs: number
  /** Answers that take longer than the wait and this are given up: some 10 round trips. */
  readonly answerSlackMs: number
  /**
   * Orders that are answered at once are taken for lost after what the endpoint's answers have
   * taken so far, within these two: twice the longest way between zones with a busy instance at
   * either end, and some 20 round trips.
   */
  readonly leastAnswerMs: number
  readonly startTimeoutMs: number
  /** Pause before an endpoint that didn't answer is asked again. */
  readonly retryHoldMs: number
  /**
   * Orders end at most this long after a majority last followed this leader. A new leader waits
   * for it before it starts what an endpoint that it can't reach may still run.
   */
  readonly leaderLeaseMs: number
  /** Most that an endpoint's clock lags behind in one second of ours, as a share. */
  readonly clockDrift: number
  /** Tasks found running whose job nobody submits again are stopped after this. */
  readonly orphanWaitMs: number
  /** Endpoints without a notice and without an answer for this long are forgotten. */
  readonly forgetEndpointMs: number
  /** How long the verdict of an ended job is kept for those who ask or send it again. */
  readonly keepVerdictMs: number
  /** An endpoint that refused for want of room gets nothing for this long. */
  readonly roomPauseMs: number
}

/** @public */
export const defaultDispatchTiming: DispatchTiming = {
  leaseMs: 900,
  maxGrantMs: 1_000,
  startOrderMs: 300,
  holdWaitMs: 250,
  idleHoldWaitMs: 500,
  idleGatherMs: 30,
  answerSlackMs: 120,
  leastAnswerMs: 25,
  startTimeoutMs: 80,
  retryHoldMs: 40,
  leaderLeaseMs: 1_100,
  clockDrift: 0.025,
  orphanWaitMs: 1_000,
  forgetEndpointMs: 8_000,
  keepVerdictMs: 60_000,
  roomPauseMs: 30,
}

/** @public */
export interface DispatchOptions {
  readonly timing?: Partial<DispatchTiming>
  /** Which waiting job gets the next free place; the least slack first by default. */
  readonly order?: JobOrder
  /** Which new jobs are taken in; by a forecast of free places by default. */
  readonly admission?: JobAdmission
  /** Mechanisms that are left out, to measure what each is worth. */
  readonly without?: readonly Mechanism[]
}
