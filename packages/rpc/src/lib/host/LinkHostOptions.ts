import type { Envelope } from '@cherryhitch/protocol'
import type { Clock } from '@cherryhitch/runtime'

/** The link address of another instance. @public */
export interface LinkPeer {
  readonly instance: string
  readonly host: string
  readonly port: number
}

/** Certificates in PEM. With `ca`, both ends must present a certificate signed by it. @public */
export interface LinkTls {
  readonly key: string
  readonly cert: string
  readonly ca?: string
}

/** Limits and times of links; all times in milliseconds. @public */
export interface LinkTuning {
  /** If a receipt is missing for this long, the peer is probed on a new connection. */
  readonly silentAfterMs: number
  /** How long the first receipt on a new connection may take; it doubles with each failed dial. */
  readonly probeTimeoutMs: number
  /** Upper bound of that time, and of what a dial that hangs adds to the end of a cut. */
  readonly maxProbeTimeoutMs: number
  /** Interval at which an empty batch is sent on an idle connection to request a receipt. */
  readonly keepAliveMs: number
  /** Shortest delay between two dials of an unreachable peer. */
  readonly reconnectMinMs: number
  readonly reconnectMaxMs: number
  /** Envelopes for an unreachable peer that wait for longer than this are dropped. */
  readonly staleAfterMs: number
  /** Envelopes kept for a peer, including those sent without a receipt. */
  readonly maxQueuedEnvelopes: number
  /** Estimated size of the envelopes kept for a peer; the estimate is an upper bound. */
  readonly maxQueuedBytes: number
  readonly maxBatchEnvelopes: number
  /** A batch is closed once its estimated size reaches this many bytes. */
  readonly maxBatchBytes: number
  /** Larger envelopes are refused by the sender. */
  readonly maxEnvelopeBytes: number
  /** Batches in flight without a receipt; later envelopes wait and are batched together. */
  readonly maxBatchesInFlight: number
  /**
   * Minimum interval between receipts on a stream. After a pause of this length, a batch gets a
   * receipt at once; batches that arrive during the interval share one receipt at its end. With 0,
   * each batch gets its own receipt.
   */
  readonly receiptGapMs: number
  /** Maximum number of senders tracked by the receiver; those silent for long give way to others. */
  readonly maxSenders: number
  /** The receiver closes connections that are idle for this long. */
  readonly idleSessionMs: number
  /** Shortest interval at which timeouts are checked. */
  readonly tickMs: number
}

/**
 * A silent connection is detected within `keepAliveMs + silentAfterMs + tickMs`; the peer counts as
 * down at most `probeTimeoutMs` later.
 *
 * @public
 */
export const defaultLinkTuning: LinkTuning = {
  silentAfterMs: 1000,
  probeTimeoutMs: 500,
  maxProbeTimeoutMs: 900,
  keepAliveMs: 300,
  reconnectMinMs: 50,
  reconnectMaxMs: 1000,
  staleAfterMs: 2000,
  maxQueuedEnvelopes: 20_000,
  maxQueuedBytes: 64 * 1024 * 1024,
  maxBatchEnvelopes: 256,
  maxBatchBytes: 1024 * 1024,
  maxEnvelopeBytes: 16 * 1024 * 1024,
  maxBatchesInFlight: 4,
  receiptGapMs: 0,
  maxSenders: 4_096,
  idleSessionMs: 10_000,
  tickMs: 50,
}

/** Callbacks of a link host. They are called one at a time and must not block. @public */
export interface LinkHandlers {
  /** Called at most once for each envelope, in the order in which the sender sent them. */
  readonly onEnvelope: (from: string, boot: number, envelope: Envelope) => void
  readonly onLinkUp: (peer: string, roundTripMs: number) => void
  /** The peer sent no receipt on the old connection, and a new connection failed as well. */
  readonly onLinkDown: (peer: string) => void
  /** A process tried to send although a newer process of the same instance has connected. */
  readonly onStaleBoot?: (from: string, boot: number) => void
  /** Takes one short log line without a prefix. */
  readonly log: (line: string) => void
}

/** @public */
export interface LinkHostOptions extends LinkHandlers, Partial<LinkTuning> {
  readonly instance: string
  /** Boot number of this process, higher than that of any earlier process of the instance. */
  readonly boot: number
  /** Port 0 lets the system pick one. */
  readonly listen: { readonly host: string; readonly port: number }
  /** The other instances; an element with the instance's own name is ignored. */
  readonly peers: readonly LinkPeer[]
  /** Bearer token that is sent to peers and required from every sender. */
  readonly token?: string
  readonly tls?: LinkTls
  readonly clock?: Clock
}
