import type { Envelope } from '@cherryhitch/protocol'

/** @internal */
export enum PeerLinkEventKind {
  EnvelopeQueued = 'envelope queued',
  ConnectionOpened = 'connection opened',
  ReceiptArrived = 'receipt arrived',
  ConnectionClosed = 'connection closed',
}

/** An event on the link to one peer. */
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
      /** Highest sequence that the receiver has received from this process. */
      readonly sequence: number
      /** Boot number of the process that sent the receipt. */
      readonly boot: number
    }
  | {
      readonly kind: PeerLinkEventKind.ConnectionClosed
      readonly connection: number
      readonly reason: string
      /** The peer refused the connection, so a quick retry would fail as well. */
      readonly refused: boolean
    }
