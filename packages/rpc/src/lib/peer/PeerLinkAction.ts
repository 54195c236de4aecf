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

/** What the shell of a link carries out. */
export type PeerLinkAction =
  | { readonly kind: PeerLinkActionKind.Dial; readonly connection: number }
  | { readonly kind: PeerLinkActionKind.Close; readonly connection: number }
  | {
      readonly kind: PeerLinkActionKind.SendBatch
      readonly connection: number
      readonly sequence: number
      /** None in a batch that only asks for an answer. */
      readonly envelopes: readonly Envelope[]
    }
  | { readonly kind: PeerLinkActionKind.ReportUp; readonly roundTripMs: number }
  | { readonly kind: PeerLinkActionKind.ReportDown }
  | { readonly kind: PeerLinkActionKind.Log; readonly line: string }
