import type { ControlSnapshot, LogEntry } from '@cherryhitch/protocol'
import { defaultControlStateOptions } from '../state/ControlState'
import type { ControlStateOptions } from '../state/ControlState'
import type { QuorumRules } from './QuorumRules'

/** Times in milliseconds; `docs/design/voters-log.md` gives the reasons for all values. @public */
export interface VoterTiming {
  /** Interval between the leader's heartbeats to each member. */
  readonly heartbeatMs: number
  /**
   * A follower without contact from a leader for a random time between these two bounds starts an
   * election; a leader without contact from a majority for the upper bound steps down.
   */
  readonly electionMinMs: number
  readonly electionMaxMs: number
  /**
   * Upper bound of the election timeout while a voter has heard from no leader since its start; the
   * lower bound is `heartbeatMs`. After a loss of power no leader is left to wait for, and where
   * there is one, the other voters reject the pre-vote. The range is wide, because candidates that
   * start within a round of votes of each other split the votes.
   */
  readonly startupElectionMaxMs: number
  /** Time after which unanswered entries are sent again. */
  readonly resendMs: number
  /**
   * Time after which an unanswered snapshot is sent again to a silent member; it takes longer to
   * send and to store.
   */
  readonly snapshotResendMs: number
  /**
   * The same for a member that has answered a later message: the snapshot or its reply is lost,
   * unless messages overtake each other.
   */
  readonly lostSnapshotResendMs: number
  /**
   * A voter that is silent for longer than this may be replaced by a learner that has caught up.
   */
  readonly replaceSilentMs: number
  /** How long an instance may treat a settings version as current after asking for it. */
  readonly settingsLeaseMs: number
  /** Time after which an unconfirmed notice of new settings is sent again. */
  readonly noticeResendMs: number
  /** Confirmations that arrive within this time are recorded in one entry. */
  readonly confirmBatchMs: number
  /** Time from a failed write until the disk is opened again; it doubles with each failed opening. */
  readonly reopenMinMs: number
  /** Upper bound of that time: a voter takes part again at most this long after its disk recovers. */
  readonly reopenMaxMs: number
}

/** @public */
export const defaultVoterTiming: VoterTiming = {
  heartbeatMs: 150,
  electionMinMs: 600,
  electionMaxMs: 1_200,
  startupElectionMaxMs: 800,
  resendMs: 500,
  snapshotResendMs: 5_000,
  lostSnapshotResendMs: 1_000,
  replaceSilentMs: 10_000,
  settingsLeaseMs: 3_000,
  noticeResendMs: 400,
  confirmBatchMs: 200,
  reopenMinMs: 100,
  reopenMaxMs: 1_000,
}

/** @public */
export interface VoterLimits {
  /** Maximum number of entries in a message. */
  readonly entriesPerMessage: number
  /**
   * Maximum size of the entries in a message, in bytes, unless a single one is larger. Links refuse
   * messages above their own limit, and a message that takes too long on a slow link breaks it.
   */
  readonly entryBytesPerMessage: number
  /** Maximum number of proposals waiting for their commit; further ones are refused. */
  readonly maxPendingProposals: number
  /** Entries between snapshots, in addition to a quarter of the number of items in the state. */
  readonly snapshotEvery: number
  /** Entries up to the snapshot that stay in memory, for followers that are slightly behind. */
  readonly entriesKept: number
}

/** @public */
export const defaultVoterLimits: VoterLimits = {
  entriesPerMessage: 256,
  entryBytesPerMessage: 256 * 1024,
  maxPendingProposals: 10_000,
  snapshotEvery: 4_096,
  entriesKept: 1_024,
}

/** @public */
export interface VoterMachineOptions {
  readonly instance: string
  /** Seed of the random election timeouts. */
  readonly seed: number
  readonly timing?: Partial<VoterTiming>
  readonly limits?: Partial<VoterLimits>
  readonly state?: ControlStateOptions
  /** Voters that may be lost at once; the leader grows the set to tolerate that. One by default. */
  readonly toleratedLosses?: number
  /** When an earlier voter of this process last followed a leader; undefined if it never did. */
  readonly lastFollowedAt?: number | undefined
  /** Overridden only by randomized tests, to verify that they detect broken rules. @internal */
  readonly rules?: QuorumRules
}

/** @internal */
export interface VoterConfig {
  readonly instance: string
  readonly seed: number
  readonly timing: VoterTiming
  readonly limits: VoterLimits
  readonly state: ControlStateOptions
  readonly lastFollowedAt: number | undefined
  /** Number of voters up to which the leader grows the set. */
  readonly targetVoterCount: number
}

const DEFAULT_TOLERATED_LOSSES = 1

/** @internal */
export function resolveOptions(options: VoterMachineOptions): VoterConfig {
  return {
    instance: options.instance,
    seed: options.seed,
    timing: { ...defaultVoterTiming, ...options.timing },
    limits: { ...defaultVoterLimits, ...options.limits },
    state: options.state ?? defaultControlStateOptions,
    lastFollowedAt: options.lastFollowedAt,
    // With 2n + 1 voters a majority remains after the loss of any n of them.
    targetVoterCount: 2 * (options.toleratedLosses ?? DEFAULT_TOLERATED_LOSSES) + 1,
  }
}

/** State that a voter reads from its disk at start. @public */
export interface StoredVoter {
  readonly diskId: string
  readonly term: number
  readonly votedFor: string
  /** Undefined on a new disk until a leader installs a snapshot on it. */
  readonly snapshot: ControlSnapshot | undefined
  /** Entries after the snapshot. */
  readonly entries: readonly LogEntry[]
}
