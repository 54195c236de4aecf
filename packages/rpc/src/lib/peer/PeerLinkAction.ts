import type { Envelope } from '@cherryhitch/protocol'

/** @internal */
export enum PeerLinkActionKind {
  Dial = 'dial',
  Close = 'close',
  SendBatch = 'send batch',
  ReportUp = 'report up',
  ReportDown = 'report down',
  Log = 'log',
}

/** An action for the host of a link's state machine to perform. */
export type PeerLinkAction =
  | { readonly kind: PeerLinkActionKind.Dial; readonly connection: number }
  | { readonly kind: PeerLinkActionKind.Close; readonly connection: number }
  | {
      readonly kind: PeerLinkActionKind.SendBatch
      readonly connection: number
      readonly sequence: number
      /** Empty in a batch that only requests a receipt. */
      readonly envelopes: readonly Envelope[]
    }
  | { readonly kind: PeerLinkActionKind.ReportUp; readonly roundTripMs: number }
  | { readonly kind: PeerLinkActionKind.ReportDown }
  | { readonly kind: PeerLinkActionKind.Log; readonly line: string }
