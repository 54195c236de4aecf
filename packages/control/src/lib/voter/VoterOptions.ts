import type { ControlSnapshot, LogEntry } from '@cherryhitch/protocol'
import { defaultControlStateOptions } from '../state/ControlState'
import type { ControlStateOptions } from '../state/ControlState'
import type { QuorumRules } from './QuorumRules'

/** Times in milliseconds; all are weighed in `docs/design/voters-log.md`. @public */
export interface VoterTiming {
  /** Between two messages of the leader to each member. */
  readonly heartbeatMs: number
  /**
   * A follower that hears of no leader for a random time between these two asks for an election;
   * a leader that hears of no majority for the longer one steps down.
   */
  readonly electionMinMs: number
  readonly electionMaxMs: number
  /** Entries that were sent without an answer are sent again after this. */
  readonly resendMs: number
  /** The same for a snapshot, which takes longer to send and to store. */
  readonly snapshotResendMs: number
  /** A voter that is silent for longer may be replaced by a learner that has caught up. */
  readonly replaceSilentMs: number
  /** How long an instance may call a version current after it asked for it. */
  readonly settingsLeaseMs: number
  /** A notice of new settings that is not confirmed is sent again after this. */
  readonly noticeResendMs: number
  /** Confirmations that arrive within this time go into one entry. */
  readonly confirmBatchMs: number
}

/** @public */
export const defaultVoterTiming: VoterTiming = {
  heartbeatMs: 150,
  electionMinMs: 600,
  electionMaxMs: 1_200,
  resendMs: 500,
  snapshotResendMs: 5_000,
  replaceSilentMs: 10_000,
  settingsLeaseMs: 3_000,
  noticeResendMs: 400,
  confirmBatchMs: 200,
}

/** @public */
export interface VoterLimits {
  /** Entries in one message. */
  readonly entriesPerMessage: number
  /** Proposals that wait for their commit; more are refused. */
  readonly pendingProposals: number
  /** Entries after which a snapshot is made, besides a quarter of the size of the state. */
  readonly snapshotEvery: number
  /** Entries kept in memory behind a snapshot, for followers that are a little behind. */
  readonly entriesKept: number
}

/** @public */
export const defaultVoterLimits: VoterLimits = {
  entriesPerMessage: 256,
  pendingProposals: 10_000,
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
  /** Voters that may be lost at once; the leader grows the set until it bears that. One by default. */
  readonly toleratedLosses?: number
  /** Replaced by randomised runs only, to see that they notice. @internal */
  readonly rules?: QuorumRules
}

/** @internal */
export interface VoterConfig {
  readonly instance: string
  readonly seed: number
  readonly timing: VoterTiming
  readonly limits: VoterLimits
  readonly state: ControlStateOptions
  /** The set is grown up to this many voters. */
  readonly wantedVoters: number
}

/** Voters that may be lost at once where nothing else is asked for. */
const DEFAULT_TOLERATED_LOSSES = 1

/** @internal */
export function completeOptions(options: VoterMachineOptions): VoterConfig {
  return {
    instance: options.instance,
    seed: options.seed,
    timing: { ...defaultVoterTiming, ...options.timing },
    limits: { ...defaultVoterLimits, ...options.limits },
    state: options.state ?? defaultControlStateOptions,
    // A majority is left after the loss of any so many of them.
    wantedVoters: 2 * (options.toleratedLosses ?? DEFAULT_TOLERATED_LOSSES) + 1,
  }
}

/** What a voter finds on its disk. @public */
export interface StoredVoter {
  readonly diskId: string
  readonly term: number
  readonly votedFor: string
  /** Missing on a disk that has not yet been filled by a leader. */
  readonly snapshot: ControlSnapshot | undefined
  /** Entries after the snapshot. */
  readonly entries: readonly LogEntry[]
}
