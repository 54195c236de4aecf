/** What the links of one instance have done since they were started. @public */
export interface LinkCounters {
  /** Envelopes handed to a connection, retransmissions not counted. */
  sent: number
  /** Envelopes handed to the receiver's handler. */
  received: number
  batchesSent: number
  batchesReceived: number
  /** Batches sent again over a new connection. */
  batchesResent: number
  /** Batches that had been delivered before and were dropped by the receiver. */
  duplicateBatches: number
  /** Envelopes refused or dropped: unknown peer or full queue. */
  dropped: number
  /** Envelopes dropped because a peer stayed unreachable for longer than the limit. */
  droppedStale: number
  /** Envelopes given up because the process of the peer that may have taken them has ended. */
  droppedInDoubt: number
  /** Envelopes refused because they exceed the size limit. */
  oversized: number
  /** Connections dialled after the first one to a peer. */
  reconnects: number
  /** Connections found to accept writes without answering. */
  silentConnections: number
  /** Streams refused because a newer process of the same instance was seen. */
  staleBoots: number
  /** Streams refused for any other reason. */
  refusedStreams: number
  /** Incoming connections that ended with an error. */
  failedSessions: number
  /** Envelopes whose handler threw. */
  handlerErrors: number
  /** Envelopes with a message of a kind that this version doesn't know. */
  unknownMessages: number
  /** Upper estimate of the bytes of the envelopes sent. */
  bytesSent: number
}

/** Counters that all start at zero. */
export function newLinkCounters(): LinkCounters {
  return {
    sent: 0,
    received: 0,
    batchesSent: 0,
    batchesReceived: 0,
    batchesResent: 0,
    duplicateBatches: 0,
    dropped: 0,
    droppedStale: 0,
    droppedInDoubt: 0,
    oversized: 0,
    reconnects: 0,
    silentConnections: 0,
    staleBoots: 0,
    refusedStreams: 0,
    failedSessions: 0,
    handlerErrors: 0,
    unknownMessages: 0,
    bytesSent: 0,
  }
}
