import type {
  Command,
  CommandAnswer,
  Envelope,
  EnvelopeBody,
  ReadControlReply,
  SettingsState,
} from '@cherryhitch/protocol'

/** Kinds of input events of a client. @internal */
export enum ClientEventKind {
  Propose = 'propose',
  Read = 'read',
  Received = 'received',
  LocalSettings = 'local_settings',
  SettingsStored = 'settings_kept',
  PeerSeen = 'peer_seen',
  LeaderFollowed = 'leader_followed',
}

/** What a read through the quorum returns in addition to the settings. @internal */
export interface ReadRange {
  /** Position of the first audit record to return; negative for none. */
  readonly auditFrom: number
  readonly auditLimit: number
  readonly withRouting: boolean
}

/** @internal */
export type ClientEvent =
  | {
      readonly kind: ClientEventKind.Propose
      readonly command: Command
      /** Time after which the result is `UNAVAILABLE` if it was not accepted, else `UNKNOWN`. */
      readonly timeoutMs: number
    }
  | ({ readonly kind: ClientEventKind.Read; readonly readId: string } & ReadRange)
  | {
      readonly kind: ClientEventKind.Received
      readonly from: string
      readonly body: EnvelopeBody
    }
  /** The own voter knows these settings to be committed. */
  | { readonly kind: ClientEventKind.LocalSettings; readonly settings: SettingsState }
  /** The settings are stored, so that a restart does not go back to an earlier version. */
  | { readonly kind: ClientEventKind.SettingsStored; readonly settings: SettingsState }
  /** The own voter follows this instance as the leader, after another one or none. */
  | { readonly kind: ClientEventKind.LeaderFollowed; readonly leader: string }
  /** An instance of the own availability zone announced its settings version. */
  | {
      readonly kind: ClientEventKind.PeerSeen
      readonly instance: string
      readonly settingsVersion: number
    }

/** Kinds of actions that a client asks its host to perform. @internal */
export enum ClientActionKind {
  Send = 'send',
  Answered = 'answered',
  ReadAnswered = 'read_answered',
  StoreSettings = 'keep_settings',
  SettingsChanged = 'settings_changed',
}

/** @internal */
export type ClientAction =
  | { readonly kind: ClientActionKind.Send; readonly to: string; readonly envelope: Envelope }
  | { readonly kind: ClientActionKind.Answered; readonly answer: CommandAnswer }
  | {
      readonly kind: ClientActionKind.ReadAnswered
      readonly readId: string
      readonly reply: ReadControlReply
    }
  /** Store newer settings; they take effect once they are stored. */
  | { readonly kind: ClientActionKind.StoreSettings; readonly settings: SettingsState }
  | {
      readonly kind: ClientActionKind.SettingsChanged
      readonly settings: SettingsState
      /** False if the lease has expired: the settings are only the newest known here. */
      readonly current: boolean
    }
