import type { Envelope, RoutingState, SettingsState } from '@cherryhitch/protocol'
import type { Clock } from '@cherryhitch/runtime'
import type { Disk } from '@cherryhitch/storage'
import type { ControlStateOptions } from '../state/ControlState'
import type { VoterLimits, VoterTiming } from '../voter/VoterOptions'
import type { ClientTiming } from './ClientOptions'

/** @public */
export interface ControlNodeOptions {
  readonly instance: string
  /** Boot of this process; later ones have higher numbers. */
  readonly boot: number
  readonly zone: string
  /** Instances known from settings to host voters. */
  readonly voters: readonly string[]
  /** Present where the instance has a data folder: then it hosts a voter or a learner. */
  readonly disk?: Disk
  /** For demos and tests only: initializes an empty disk, as `control init` does. */
  readonly autoInit?: { readonly clusterId: string }
  /** Sends a message to another instance; it may be lost. Must not throw or block. */
  readonly send: (to: string, envelope: Envelope) => void
  readonly clock?: Clock
  /** Takes a log line, without prefix. */
  readonly log: (line: string) => void
  /** Called when a fault of the program ended this part: the process should be restarted. */
  readonly onDefect?: (defect: unknown) => void
  /**
   * Called with each newer version, and when it becomes or ceases to be current: settings that are
   * not current are the newest known here while the quorum can't be reached.
   */
  readonly onSettings: (settings: SettingsState, current: boolean) => void
  /** Called with each routing of a higher version that is known here to be committed. */
  readonly onRouting?: (routing: RoutingState) => void
  /**
   * Called with the term once this instance leads and holds all that was committed, and with
   * undefined once it doesn't lead any more.
   */
  readonly onLeadership?: (term: number | undefined, routing: RoutingState | undefined) => void
  readonly voterTiming?: Partial<VoterTiming>
  readonly voterLimits?: Partial<VoterLimits>
  /** Voters that may be lost at once; see `VoterMachineOptions`. */
  readonly toleratedLosses?: number
  readonly clientTiming?: Partial<ClientTiming>
  readonly state?: ControlStateOptions
  /** Seed of the random election timeouts; from the instance and boot by default. */
  readonly seed?: number
  /** Milliseconds between two ticks. */
  readonly tickMs?: number
}

/** A quarter of the shortest time that the log goes by. */
export const DEFAULT_TICK_MS = 50
