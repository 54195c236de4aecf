import type { Envelope } from '@cherryhitch/protocol'

/** Envelopes sent together, kept until the receiver acknowledges them with a receipt. */
export interface OutgoingBatch {
  readonly sequence: number
  readonly envelopes: readonly Envelope[]
  readonly bytes: number
  /** When the oldest envelope of the batch was queued. */
  readonly queuedAt: number
  /** How many times the batch was sent. */
  attempts: number
}

/** Limits of an outbox; see `LinkTuning`. */
export interface OutboxLimits {
  readonly maxQueuedEnvelopes: number
  readonly maxQueuedBytes: number
  readonly maxBatchEnvelopes: number
  readonly maxBatchBytes: number
}

interface WaitingEnvelope {
  readonly envelope: Envelope
  readonly bytes: number
  readonly queuedAt: number
}

/**
 * The send queue of one peer: envelopes not yet in a batch, and batches without a receipt.
 *
 * Sequence numbers continue across connections, so that the receiver can detect retransmissions.
 * They have gaps where batches were dropped.
 */
export class Outbox {
  #waiting: WaitingEnvelope[] = []
  /** Index of the first waiting envelope; the array is compacted from time to time. */
  #head = 0
  #unacknowledged: OutgoingBatch[] = []
  /** How many of the unacknowledged batches were sent on the current connection. */
  #inFlight = 0
  #nextSequence: number
  #envelopes = 0
  #bytes = 0

  constructor(
    private readonly limits: OutboxLimits,
    firstSequence = 1,
  ) {
    this.#nextSequence = firstSequence
  }

  /** Number of envelopes kept, including those sent without a receipt. */
  get size(): number {
    return this.#envelopes
  }

  get nextSequence(): number {
    return this.#nextSequence
  }

  /** Number of batches sent on the current connection without a receipt. */
  get inFlight(): number {
    return this.#inFlight
  }

  /** Highest sequence that will never be sent again. */
  get floor(): number {
    return (this.#unacknowledged[0]?.sequence ?? this.#nextSequence) - 1
  }

  hasRoomFor(bytes: number, extraEnvelopes = 0): boolean {
    const { maxQueuedEnvelopes, maxQueuedBytes } = this.limits
    if (this.#envelopes + extraEnvelopes >= maxQueuedEnvelopes) return false
    return this.#envelopes === 0 || this.#bytes + bytes <= maxQueuedBytes
  }

  add(now: number, envelope: Envelope, bytes: number): void {
    this.#waiting.push({ envelope, bytes, queuedAt: now })
    this.#envelopes += 1
    this.#bytes += bytes
  }

  /** Next batch for the current connection: retransmissions first, then waiting envelopes. */
  takeBatch(): OutgoingBatch | undefined {
    const batch = this.#unacknowledged[this.#inFlight] ?? this.#createBatch()
    if (batch === undefined) return undefined
    this.#inFlight += 1
    batch.attempts += 1
    return batch
  }

  /** Called for a new connection: all unacknowledged batches are sent again, in order. */
  rewind(): void {
    this.#inFlight = 0
  }

  /** Removes all batches up to this sequence, which the receiver has received. */
  acknowledge(sequence: number): void {
    while ((this.#unacknowledged[0]?.sequence ?? Infinity) <= sequence) {
      this.#removeOldestBatch()
    }
  }

  /** Drops what was queued before the instant; returns the number of envelopes. */
  dropOlderThan(instant: number): number {
    const before = this.#envelopes
    while ((this.#unacknowledged[0]?.queuedAt ?? Infinity) < instant) this.#removeOldestBatch()
    while ((this.#waiting[this.#head]?.queuedAt ?? Infinity) < instant) this.#shiftWaiting()
    return before - this.#envelopes
  }

  /** Drops all batches that were sent and have no receipt; returns the number of envelopes. */
  dropUnacknowledged(): number {
    const before = this.#envelopes
    while (this.#unacknowledged.length > 0) this.#removeOldestBatch()
    return before - this.#envelopes
  }

  /** Drops the oldest batch, or else the oldest envelope; returns the number of envelopes. */
  dropOldest(): number {
    const before = this.#envelopes
    if (this.#unacknowledged.length > 0) this.#removeOldestBatch()
    else this.#shiftWaiting()
    return before - this.#envelopes
  }

  #removeOldestBatch(): void {
    const batch = this.#unacknowledged.shift()
    if (batch === undefined) return
    this.#inFlight = Math.max(0, this.#inFlight - 1)
    this.#envelopes -= batch.envelopes.length
    this.#bytes -= batch.bytes
  }

  #shiftWaiting(): WaitingEnvelope | undefined {
    const item = this.#waiting[this.#head]
    if (item === undefined) return undefined
    this.#head += 1
    this.#envelopes -= 1
    this.#bytes -= item.bytes
    this.#compact()
    return item
  }

  #compact(): void {
    const isWorthwhile = this.#head === this.#waiting.length || this.#head > COMPACT_THRESHOLD
    if (!isWorthwhile) return
    this.#waiting = this.#waiting.slice(this.#head)
    this.#head = 0
  }

  #createBatch(): OutgoingBatch | undefined {
    const queuedAt = this.#waiting[this.#head]?.queuedAt
    if (queuedAt === undefined) return undefined
    const envelopes: Envelope[] = []
    let bytes = 0
    while (envelopes.length < this.limits.maxBatchEnvelopes && bytes < this.limits.maxBatchBytes) {
      const item = this.#shiftWaiting()
      if (item === undefined) break
      envelopes.push(item.envelope)
      bytes += item.bytes
    }
    const batch = { sequence: this.#nextSequence, envelopes, bytes, queuedAt, attempts: 0 }
    this.#nextSequence += 1
    this.#unacknowledged.push(batch)
    this.#envelopes += envelopes.length
    this.#bytes += bytes
    return batch
  }
}

/** Number of removed envelopes at the front of the array from which it is compacted. */
const COMPACT_THRESHOLD = 1024
