import type { Mechanism } from '@cherryhitch/model'
import type { JobAdmission } from './scheduling/JobAdmission'
import type { QueuePolicy } from './scheduling/QueuePolicy'

/** Timeouts and intervals of the dispatcher, in milliseconds. @public */
export interface DispatchTiming {
  /**
   * Lease during which an endpoint continues its runs without a message from the leader. At most
   * what endpoints grant (1,000 on the users' platform), less a margin for transit.
   */
  readonly leaseMs: number
  /** Longest lease that endpoints grant to any leader. */
  readonly maxGrantMs: number
  /** Validity of a start order; an endpoint refuses one that arrives later. */
  readonly startOrderValidityMs: number
  /**
   * How long a hold (a long poll that renews the lease) waits at the endpoint for the end of a run.
   * Three fit into a lease, so that one can be lost.
   */
  readonly holdWaitMs: number
  /**
   * Like `holdWaitMs`, for an endpoint without runs. There is no lease to renew and no end to
   * report, but a failed endpoint should be detected before tasks are sent to it. Two fit into a
   * lease, since the endpoint can get a run at any moment.
   */
  readonly idleHoldWaitMs: number
  /**
   * Interval at which holds of endpoints without runs are renewed in one batch: each frame to an
   * instance that forwards orders costs more than the orders in it.
   */
  readonly idleBatchIntervalMs: number
  /** Time allowed for the answer to a hold in addition to its wait: some 10 round trips. */
  readonly answerSlackMs: number
  /**
   * Lower bound of the timeout for orders that are answered at once, which adapts to the endpoint's
   * measured round trips: twice the longest transit between availability zones with a busy instance
   * at either end.
   */
  readonly minAnswerTimeoutMs: number
  /** Upper bound of the same timeout: some 20 round trips. */
  readonly maxAnswerTimeoutMs: number
  /** Delay before the next hold after one without an answer. */
  readonly holdRetryDelayMs: number
  /**
   * Orders expire at most this long after a majority last confirmed this leader. A new leader waits
   * for this time before it restarts tasks that may still run at an endpoint it can't reach.
   */
  readonly leaderLeaseMs: number
  /**
   * Clock drift bound: by how much an endpoint's clock may run slower than the local one, as a
   * share.
   */
  readonly clockDrift: number
  /** Time after which discovered runs are stopped if their job is not submitted again. */
  readonly orphanTimeoutMs: number
  /** Time after which endpoints without a notice and without an answer are removed. */
  readonly endpointExpiryMs: number
  /** Retention of the verdict of an ended job, for repeated submissions and queries. */
  readonly verdictRetentionMs: number
  /** Pause before an endpoint that refused a task for lack of capacity gets another one. */
  readonly capacityBackoffMs: number
  /**
   * Least time between a caller's attempt that got no answer and its next one for the same job, at
   * whatever entry; 0 if callers promise none. Within this time after an election, a new leader can
   * tell new jobs from those that its predecessor may be running.
   */
  readonly resubmitDelayMs: number
}

/** @public */
export const defaultDispatchTiming: DispatchTiming = {
  leaseMs: 900,
  maxGrantMs: 1_000,
  startOrderValidityMs: 300,
  holdWaitMs: 250,
  idleHoldWaitMs: 500,
  idleBatchIntervalMs: 30,
  answerSlackMs: 120,
  minAnswerTimeoutMs: 25,
  maxAnswerTimeoutMs: 80,
  holdRetryDelayMs: 40,
  leaderLeaseMs: 1_100,
  clockDrift: 0.025,
  orphanTimeoutMs: 1_000,
  endpointExpiryMs: 8_000,
  verdictRetentionMs: 60_000,
  capacityBackoffMs: 30,
  resubmitDelayMs: 0,
}

/** @public */
export interface DispatchOptions {
  readonly timing?: Partial<DispatchTiming>
  /** Decides which waiting job gets the next free slot; least slack first by default. */
  readonly order?: QueuePolicy
  /** Decides which new jobs are admitted; by a forecast of free slots by default. */
  readonly admission?: JobAdmission
  /** Whether zones that are cut off serve alone, so that their endpoints have to be taken back. */
  readonly hasZoneDispatchers?: boolean
  /** Mechanisms to disable, to measure what each contributes. */
  readonly without?: readonly Mechanism[]
}
