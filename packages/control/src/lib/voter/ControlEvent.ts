import type { EnvelopeBody } from '@cherryhitch/protocol'

/** Kinds of input events of a voter. @public */
export enum ControlEventKind {
  Received = 'received',
  Persisted = 'persisted',
  PersistFailed = 'persist_failed',
  TransferLeadership = 'hand_over',
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
  /** All writes of the batch are synced. */
  | { readonly kind: ControlEventKind.Persisted; readonly id: number }
  /** A disk write failed; the contents of the disk are unknown until they are read back. */
  | { readonly kind: ControlEventKind.PersistFailed; readonly id: number; readonly reason: string }
  /** The process is about to stop: if this voter leads, another one is to take over. */
  | { readonly kind: ControlEventKind.TransferLeadership }
