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

/** What a voter asks its shell to do. @public */
export enum ControlActionKind {
  Send = 'send',
  Persist = 'persist',
  Applied = 'applied',
  SettingsChanged = 'settings_changed',
  RoutingChanged = 'routing_changed',
  RoleChanged = 'role_changed',
  Log = 'log',
}

/** What a voter is in its term. @public */
export enum VoterRole {
  Follower = 'follower',
  PreCandidate = 'pre_candidate',
  Candidate = 'candidate',
  Leader = 'leader',
}

/**
 * What has to be synced, as one unit: one event follows for the whole of it. It is carried out in
 * the order of the fields, so that a crash in between leaves a state that a restart can go on from.
 *
 * @public
 */
export interface PersistBatch {
  /** Rises with each batch; only one is out at a time. */
  readonly id: number
  readonly hardState: HardState | undefined
  /** Replaces the stored snapshot; entries that it covers may go. */
  readonly snapshot: ControlSnapshot | undefined
  /** Entries after this index go. */
  readonly truncateAfter: number | undefined
  /** Added at the end of the log. */
  readonly entries: readonly LogEntry[]
}

/** @public */
export type ControlAction =
  | SendAction
  | { readonly kind: ControlActionKind.Persist; readonly batch: PersistBatch }
  /** A committed command was applied here. */
  | {
      readonly kind: ControlActionKind.Applied
      readonly index: number
      readonly term: number
      readonly command: Command
      readonly answer: CommandAnswer
    }
  /** A newer version was committed, as far as this voter knows. */
  | { readonly kind: ControlActionKind.SettingsChanged; readonly settings: SettingsState }
  /** A routing of a higher version was committed, as far as this voter knows. */
  | { readonly kind: ControlActionKind.RoutingChanged; readonly routing: RoutingState }
  | {
      readonly kind: ControlActionKind.RoleChanged
      readonly role: VoterRole
      readonly term: number
      /** Instance that leads, empty while it is unknown. */
      readonly leader: string
    }
  | { readonly kind: ControlActionKind.Log; readonly line: string }

/** Messages to the own instance have to be delivered too. @public */
export interface SendAction {
  readonly kind: ControlActionKind.Send
  readonly to: string
  readonly envelope: Envelope
}
