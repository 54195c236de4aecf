import type { Envelope, RoutingState, SettingsState } from '@cherryhitch/protocol'
import type { Clock } from '@cherryhitch/runtime'
import type { Disk } from '@cherryhitch/storage'
import type { ControlStateOptions } from '../state/ControlState'
import type { VoterLimits, VoterTiming } from '../voter/VoterOptions'
import type { ClientTiming } from './ClientOptions'

/** What the own voter knows to be committed; fields are undefined without a voter. @public */
export interface CommittedState {
  readonly routing: RoutingState | undefined
  readonly settings: SettingsState | undefined
}

/** @public */
export interface ControlNodeOptions {
  readonly instance: string
  /** Boot number of this process; it increases with each start of the instance. */
  readonly boot: number
  readonly zone: string
  /** Instances that host voters, according to the settings of the process. */
  readonly voters: readonly string[]
  /** Present if the instance has a data folder; it then hosts a voter or a learner. */
  readonly disk?: Disk
  /** For demos and tests only: initializes an empty disk like `control init`. */
  readonly autoInit?: { readonly clusterId: string }
  /** Sends a message to another instance; it may be lost. Must not throw or block. */
  readonly send: (to: string, envelope: Envelope) => void
  readonly clock?: Clock
  /** Logs a line, passed without a prefix. */
  readonly log: (line: string) => void
  /** Called when an unexpected error has stopped the node: the process should be restarted. */
  readonly onDefect?: (defect: unknown) => void
  /**
   * Called with each newer version, and when the version starts or ceases to be current. Settings
   * that are not current are the newest known here while the quorum cannot be reached.
   */
  readonly onSettings: (settings: SettingsState, current: boolean) => void
  /** Called with each routing of a higher version that the own voter knows to be committed. */
  readonly onRouting?: (routing: RoutingState) => void
  /**
   * Called with each settings version that the own voter knows to be committed, before the settings
   * are stored for the next start.
   */
  readonly onCommittedSettings?: (settings: SettingsState) => void
  /**
   * Called with the term once this instance leads and its state contains everything committed in
   * earlier terms, and with undefined once it stops leading.
   */
  readonly onLeadership?: (term: number | undefined, committed: CommittedState) => void
  readonly voterTiming?: Partial<VoterTiming>
  readonly voterLimits?: Partial<VoterLimits>
  /** See `VoterMachineOptions`. */
  readonly toleratedLosses?: number
  readonly clientTiming?: Partial<ClientTiming>
  readonly state?: ControlStateOptions
  /** Seed of the random election timeouts; derived from the instance and boot by default. */
  readonly seed?: number
  /** Interval between two ticks, in milliseconds. */
  readonly tickMs?: number
}

/** Half of the shortest interval that the log uses by default (`retryMs` of the client). */
export const DEFAULT_TICK_MS = 50
