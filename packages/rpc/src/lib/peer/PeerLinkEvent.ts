import type { Envelope } from '@cherryhitch/protocol'

/** @internal */
export enum PeerLinkEventKind {
  EnvelopeQueued = 'envelope queued',
  ConnectionOpened = 'connection opened',
  ReceiptArrived = 'receipt arrived',
  ConnectionClosed = 'connection closed',
}

/** What happens to the link to one peer. */
export type PeerLinkEvent =
  | {
      readonly kind: PeerLinkEventKind.EnvelopeQueued
      readonly envelope: Envelope
      readonly bytes: number
    }
  | { readonly kind: PeerLinkEventKind.ConnectionOpened; readonly connection: number }
  | {
      readonly kind: PeerLinkEventKind.ReceiptArrived
      readonly connection: number
      /** Highest batch that the receiver has of this process. */
      readonly sequence: number
      /** Boot of the process that gave the receipt. */
      readonly boot: number
    }
  | {
      readonly kind: PeerLinkEventKind.ConnectionClosed
      readonly connection: number
      readonly reason: string
      /** The peer answered, and refused: dialling again soon is of no use. */
      readonly refused: boolean
    }
