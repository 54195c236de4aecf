import type {
  Command,
  CommandAnswer,
  ControlSnapshot,
  Envelope,
  HardState,
  LogEntry,
  RoutingState,
  SettingsState,
} from '@cherryhitch/protocol'

/** Kinds of actions that a voter asks its host to perform. @public */
export enum ControlActionKind {
  Send = 'send',
  Persist = 'persist',
  Applied = 'applied',
  SettingsChanged = 'settings_changed',
  RoutingChanged = 'routing_changed',
  RoleChanged = 'role_changed',
  Log = 'log',
}

/** Role of a voter in its current term. @public */
export enum VoterRole {
  Follower = 'follower',
  PreCandidate = 'pre_candidate',
  Candidate = 'candidate',
  Leader = 'leader',
}

/**
 * Writes that are synced as one unit: a single event reports the result for the whole batch. The
 * writes are carried out in the order of the fields, so that a crash in between leaves a state from
 * which a restart can continue.
 *
 * @public
 */
export interface PersistBatch {
  /** Increases with each batch; only one batch is in flight at a time. */
  readonly id: number
  readonly hardState: HardState | undefined
  /** Replaces the stored snapshot; entries that it covers may be deleted. */
  readonly snapshot: ControlSnapshot | undefined
  /** Entries after this index are deleted. */
  readonly truncateAfter: number | undefined
  /** Entries to append to the log. */
  readonly entries: readonly LogEntry[]
}

/** @public */
export type ControlAction =
  | SendAction
  | { readonly kind: ControlActionKind.Persist; readonly batch: PersistBatch }
  /** A committed command was applied at this voter. */
  | {
      readonly kind: ControlActionKind.Applied
      readonly index: number
      readonly term: number
      readonly command: Command
      readonly answer: CommandAnswer
    }
  /** A newer settings version is committed, as far as this voter knows. */
  | { readonly kind: ControlActionKind.SettingsChanged; readonly settings: SettingsState }
  /** A higher version of the routing is committed, as far as this voter knows. */
  | { readonly kind: ControlActionKind.RoutingChanged; readonly routing: RoutingState }
  | {
      readonly kind: ControlActionKind.RoleChanged
      readonly role: VoterRole
      readonly term: number
      /** The leader's instance; empty while no leader is known. */
      readonly leader: string
    }
  | { readonly kind: ControlActionKind.Log; readonly line: string }

/** A message to an instance. Messages to the own instance have to be delivered too. @public */
export interface SendAction {
  readonly kind: ControlActionKind.Send
  readonly to: string
  readonly envelope: Envelope
}
