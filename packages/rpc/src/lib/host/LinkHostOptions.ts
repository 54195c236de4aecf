import type { Envelope } from '@cherryhitch/protocol'
import type { Clock } from '@cherryhitch/runtime'

/** Where another instance listens. @public */
export interface LinkPeer {
  readonly instance: string
  readonly host: string
  readonly port: number
}

/** Certificates in PEM. With `ca`, both ends must show a certificate signed by it. @public */
export interface LinkTls {
  readonly key: string
  readonly cert: string
  readonly ca?: string
}

/** Limits and times of links; all times in milliseconds. @public */
export interface LinkTuning {
  /** A connection that owes an answer for longer than this is probed by a new one. */
  readonly silentAfterMs: number
  /** How long a new connection may take to answer. */
  readonly probeTimeoutMs: number
  /** An idle connection is asked for an answer at this pace. */
  readonly keepAliveMs: number
  /** Shortest wait between two dials of an unreachable peer. */
  readonly reconnectMinMs: number
  readonly reconnectMaxMs: number
  /** Envelopes that wait longer than this for an unreachable peer are dropped. */
  readonly staleAfterMs: number
  /** Envelopes kept for a peer, those without a receipt included. */
  readonly maxQueuedEnvelopes: number
  /** Upper estimate of the bytes kept for a peer. */
  readonly maxQueuedBytes: number
  readonly maxBatchEnvelopes: number
  /** A batch is closed once its estimate reaches this many bytes. */
  readonly maxBatchBytes: number
  /** Larger envelopes are refused by the sender. */
  readonly maxEnvelopeBytes: number
  /** Batches on their way without a receipt; what comes after waits and travels together. */
  readonly maxBatchesInFlight: number
  /**
   * The receiver answers a batch at once after a pause of this long, and what comes meanwhile with
   * one receipt; 0 answers each by itself.
   */
  readonly receiptGapMs: number
  /** Senders remembered by the receiver. */
  readonly maxSenders: number
  /** The receiver closes connections that carry nothing for this long. */
  readonly idleSessionMs: number
  /** Pace at which timeouts are checked. */
  readonly tickMs: number
}

/**
 * Detection takes at most `keepAliveMs + silentAfterMs + tickMs`, and `probeTimeoutMs` more until
 * a peer counts as down.
 *
 * @public
 */
export const defaultLinkTuning: LinkTuning = {
  silentAfterMs: 1000,
  probeTimeoutMs: 500,
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
  maxSenders: 256,
  idleSessionMs: 10_000,
  tickMs: 50,
}

/** What a link host tells its instance. Handlers are called one at a time and must not block. @public */
export interface LinkHandlers {
  /** One envelope, in the order in which the sender sent it, and at most once. */
  readonly onEnvelope: (from: string, boot: number, envelope: Envelope) => void
  readonly onLinkUp: (peer: string, roundTripMs: number) => void
  /** The peer answered neither on the old connection nor on a new one. */
  readonly onLinkDown: (peer: string) => void
  /** A process that was replaced by a newer one of the same name tried to send. */
  readonly onStaleBoot?: (from: string, boot: number) => void
  /** One short line for the log, without prefix. */
  readonly log: (line: string) => void
}

/** @public */
export interface LinkHostOptions extends LinkHandlers, Partial<LinkTuning> {
  readonly instance: string
  /** Boot number of this process: higher than that of every earlier process of the instance. */
  readonly boot: number
  /** Port 0 lets the system pick one. */
  readonly listen: { readonly host: string; readonly port: number }
  /** The other instances; an entry of the instance's own name is ignored. */
  readonly peers: readonly LinkPeer[]
  /** Bearer token that is sent, and asked of every sender. */
  readonly token?: string
  readonly tls?: LinkTls
  readonly clock?: Clock
}
