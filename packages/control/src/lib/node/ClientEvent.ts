import type {
  Command,
  CommandAnswer,
  Envelope,
  EnvelopeBody,
  ReadControlReply,
  SettingsState,
} from '@cherryhitch/protocol'

/** What the client part of an instance is told. @internal */
export enum ClientEventKind {
  Propose = 'propose',
  Read = 'read',
  Received = 'received',
  LocalSettings = 'local_settings',
  SettingsKept = 'settings_kept',
  PeerSeen = 'peer_seen',
}

/** What a read through the quorum is to bring. @internal */
export interface ReadRange {
  /** Position of the first audit record; negative for none. */
  readonly auditFrom: number
  readonly auditLimit: number
  readonly withRouting: boolean
}

/** @internal */
export type ClientEvent =
  | {
      readonly kind: ClientEventKind.Propose
      readonly command: Command
      /** After this the answer is given as it stands: not accepted, or unknown. */
      readonly timeoutMs: number
    }
  | ({ readonly kind: ClientEventKind.Read; readonly readId: string } & ReadRange)
  | {
      readonly kind: ClientEventKind.Received
      readonly from: string
      readonly body: EnvelopeBody
    }
  /** The voter of this instance knows these settings to be committed. */
  | { readonly kind: ClientEventKind.LocalSettings; readonly settings: SettingsState }
  /** The settings are on the disk: from now on a restart does not go behind them. */
  | { readonly kind: ClientEventKind.SettingsKept; readonly settings: SettingsState }
  /** An instance of the own zone, and the version that it says it has. */
  | {
      readonly kind: ClientEventKind.PeerSeen
      readonly instance: string
      readonly settingsVersion: number
    }

/** What the client part asks its shell to do. @internal */
export enum ClientActionKind {
  Send = 'send',
  Answered = 'answered',
  ReadAnswered = 'read_answered',
  KeepSettings = 'keep_settings',
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
  /** Newer settings are to be stored; they take force once they are. */
  | { readonly kind: ClientActionKind.KeepSettings; readonly settings: SettingsState }
  | {
      readonly kind: ClientActionKind.SettingsChanged
      readonly settings: SettingsState
      /** False while the lease on them has run out: they are the newest known here. */
      readonly current: boolean
    }
