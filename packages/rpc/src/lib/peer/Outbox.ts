import type { Envelope } from '@cherryhitch/protocol'

/** Envelopes that travel together, until the receiver's receipt. */
export interface OutgoingBatch {
  readonly sequence: number
  readonly envelopes: readonly Envelope[]
  readonly bytes: number
  /** When its oldest envelope was queued. */
  readonly queuedAt: number
  /** How often it was handed to a connection. */
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
 * What waits for one peer: envelopes not yet in a batch, and batches without a receipt.
 *
 * Sequence numbers go on over connections, so the receiver can tell a retransmission. They
 * may have gaps where batches were given up.
 */
export class Outbox {
  #waiting: WaitingEnvelope[] = []
  /** Index of the first waiting envelope; the array is compacted now and then. */
  #head = 0
  #unacknowledged: OutgoingBatch[] = []
  /** How many unacknowledged batches the present connection was given. */
  #handedOver = 0
  #nextSequence: number
  #envelopes = 0
  #bytes = 0

  constructor(
    private readonly limits: OutboxLimits,
    firstSequence = 1,
  ) {
    this.#nextSequence = firstSequence
  }

  /** Envelopes kept, those without a receipt included. */
  get size(): number {
    return this.#envelopes
  }

  get nextSequence(): number {
    return this.#nextSequence
  }

  /** Batches given to the present connection that have no receipt. */
  get inFlight(): number {
    return this.#handedOver
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

  /** Next batch for the present connection: first what it must retransmit, then what waits. */
  takeBatch(): OutgoingBatch | undefined {
    const batch = this.#unacknowledged[this.#handedOver] ?? this.#formBatch()
    if (batch === undefined) return undefined
    this.#handedOver += 1
    batch.attempts += 1
    return batch
  }

  /** A new connection takes over: everything without a receipt goes out again, in order. */
  rewind(): void {
    this.#handedOver = 0
  }

  /** The receiver has all batches up to this sequence. */
  acknowledge(sequence: number): void {
    while ((this.#unacknowledged[0]?.sequence ?? Infinity) <= sequence) {
      this.#forgetOldestBatch()
    }
  }

  /** Gives up what was queued before the instant; returns the number of envelopes. */
  dropOlderThan(instant: number): number {
    const before = this.#envelopes
    while ((this.#unacknowledged[0]?.queuedAt ?? Infinity) < instant) this.#forgetOldestBatch()
    while ((this.#waiting[this.#head]?.queuedAt ?? Infinity) < instant) this.#takeWaiting()
    return before - this.#envelopes
  }

  /** Gives up what was handed to a connection and has no receipt; returns the number of envelopes. */
  dropUnacknowledged(): number {
    const before = this.#envelopes
    while (this.#unacknowledged.length > 0) this.#forgetOldestBatch()
    return before - this.#envelopes
  }

  /** Gives up the oldest envelope, or the oldest batch; returns the number of envelopes. */
  dropOldest(): number {
    const before = this.#envelopes
    if (this.#unacknowledged.length > 0) this.#forgetOldestBatch()
    else this.#takeWaiting()
    return before - this.#envelopes
  }

  #forgetOldestBatch(): void {
    const batch = this.#unacknowledged.shift()
    if (batch === undefined) return
    this.#handedOver = Math.max(0, this.#handedOver - 1)
    this.#envelopes -= batch.envelopes.length
    this.#bytes -= batch.bytes
  }

  #takeWaiting(): WaitingEnvelope | undefined {
    const item = this.#waiting[this.#head]
    if (item === undefined) return undefined
    this.#head += 1
    this.#envelopes -= 1
    this.#bytes -= item.bytes
    this.#compact()
    return item
  }

  #compact(): void {
    const worthwhile = this.#head === this.#waiting.length || this.#head > COMPACT_AFTER
    if (!worthwhile) return
    this.#waiting = this.#waiting.slice(this.#head)
    this.#head = 0
  }

  #formBatch(): OutgoingBatch | undefined {
    const queuedAt = this.#waiting[this.#head]?.queuedAt
    if (queuedAt === undefined) return undefined
    const envelopes: Envelope[] = []
    let bytes = 0
    while (envelopes.length < this.limits.maxBatchEnvelopes && bytes < this.limits.maxBatchBytes) {
      const item = this.#takeWaiting()
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

/** Taken envelopes at the front of the array before it is compacted. */
const COMPACT_AFTER = 1024
