/** Counters of the links of one instance since they were started. @public */
export interface LinkCounters {
  /** Envelopes sent on a connection, not counting retransmissions. */
  sent: number
  /** Envelopes received, including those to the instance itself. */
  received: number
  batchesSent: number
  batchesReceived: number
  /** Batches sent again over a new connection. */
  batchesResent: number
  /** Batches dropped by the receiver because they had already been delivered. */
  duplicateBatches: number
  /** Envelopes refused or dropped: unknown peer or full queue. */
  dropped: number
  /** Envelopes dropped because they waited for a peer for longer than `staleAfterMs`. */
  droppedStale: number
  /** Envelopes dropped because an earlier process of the peer may have received them. */
  droppedInDoubt: number
  /** Envelopes refused because they exceed the size limit. */
  oversized: number
  /** Connections dialled after the first one to a peer. */
  reconnects: number
  /** Connections that accepted writes but returned no receipt in time. */
  silentConnections: number
  /** Streams refused because a newer process of the same instance was seen. */
  staleBoots: number
  /** Streams refused for any other reason. */
  refusedStreams: number
  /** Of these, streams refused because the limit of tracked senders was reached. */
  refusedFull: number
  /** Of these, streams ended because their sender had opened a newer one. */
  refusedSuperseded: number
  /** Incoming connections that ended with an error. */
  failedSessions: number
  /** Envelopes whose handler threw. */
  handlerErrors: number
  /** Envelopes with a message type that this version doesn't know. */
  unknownMessages: number
  /** Upper bound for the encoded size of the envelopes sent. */
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
    refusedFull: 0,
    refusedSuperseded: 0,
    failedSessions: 0,
    handlerErrors: 0,
    unknownMessages: 0,
    bytesSent: 0,
  }
}
