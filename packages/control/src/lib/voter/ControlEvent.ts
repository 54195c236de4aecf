import type { EnvelopeBody } from '@cherryhitch/protocol'

/** What a voter is told. @public */
export enum ControlEventKind {
  Received = 'received',
  Persisted = 'persisted',
  PersistFailed = 'persist_failed',
  HandOver = 'hand_over',
}

/** @public */
export type ControlEvent =
  | {
      readonly kind: ControlEventKind.Received
      readonly from: string
      /** Boot of the sender's process. */
      readonly boot: number
      readonly body: EnvelopeBody
    }
  /** Everything of the batch is synced. */
  | { readonly kind: ControlEventKind.Persisted; readonly id: number }
  /** The disk failed; what it holds is unknown until the next start. */
  | { readonly kind: ControlEventKind.PersistFailed; readonly id: number; readonly reason: string }
  /** The process is about to end: another voter is to lead, if this one does. */
  | { readonly kind: ControlEventKind.HandOver }
