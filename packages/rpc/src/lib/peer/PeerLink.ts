import type { Envelope } from '@cherryhitch/protocol'
import { exhaustive, hash64 } from '@cherryhitch/model'
import { StateMachine } from '@cherryhitch/runtime'
import type { LinkCounters } from '../host/LinkCounters'
import type { LinkTuning } from '../host/LinkHostOptions'
import { Outbox } from './Outbox'
import type { PeerLinkAction } from './PeerLinkAction'
import { PeerLinkActionKind } from './PeerLinkAction'
import type { PeerLinkEvent } from './PeerLinkEvent'
import { PeerLinkEventKind } from './PeerLinkEvent'

type Receipt = Extract<PeerLinkEvent, { kind: PeerLinkEventKind.ReceiptArrived }>

/** A batch that was sent on a connection and has no receipt yet. */
interface InFlightBatch {
  readonly sequence: number
  readonly sentAt: number
}

/** The state of one connection. */
interface Connection {
  readonly id: number
  dialledAt: number
  /** Batches sent on this connection without a receipt, oldest first, including empty ones. */
  readonly inFlight: InFlightBatch[]
  lastSentAt: number
  lastHeardAt: number
  /** When its first receipt arrived; until then, when it was dialled. */
  firstReceiptAt: number
  /** Boot number of the process at the other end; undefined before the first receipt. */
  peerBoot: number | undefined
}

/** @internal */
export interface PeerLinkOptions extends LinkTuning {
  readonly peer: string
  /** Shared with the other links of the host. */
  readonly counters: LinkCounters
  /** Continues the numbering of an earlier link from this process to the same peer. */
  readonly firstSequence?: number
}

/** Weight of a new sample in the smoothed round trip, as in RFC 6298. */
const ROUND_TRIP_WEIGHT = 1 / 8
/**
 * Gap between two checks from which this process is taken to have been stalled, in milliseconds.
 * It is 1.5 times the longest regular interval between checks.
 */
const STALL_MS = 300
/**
 * Boot number in receipts from versions that don't send one. Each new connection to such a peer
 * may lead to a new process.
 */
const UNKNOWN_BOOT = 0
const HASH_RANGE = 0xffffffff
const HASH_DIGITS = 8

/**
 * State machine of one outgoing link: decides when to dial, probe, resend and drop.
 *
 * At most two connections exist: the current one, and a candidate that is dialled when the current
 * one is missing or silent. The candidate is promoted to current once it has acknowledged an empty
 * batch. If the old connection is replaced in time, the peer is not reported as down.
 *
 * Each message is delivered to at most one process of the peer, so the reply to a message always
 * comes from the process that may have acted on it.
 *
 * @internal
 */
export class PeerLink extends StateMachine<PeerLinkEvent, PeerLinkAction> {
  readonly outbox: Outbox
  #up = false
  #current: Connection | undefined
  #candidate: Connection | undefined
  #lastConnectionId = 0
  /** Failed dials and short-lived connections since a connection was last stable. */
  #failures = 0
  /** Dials without a receipt since a connection was last promoted. */
  #failedDials = 0
  #nextDialAt = 0
  #disconnectedAt = 0
  #lastTickAt: number | undefined
  #roundTripMs = 0
  #roundTripSamples = 0
  #lastDialError = ''
  /** Boot number of the process at the other end of the last promoted connection. */
  #peerBoot: number | undefined

  constructor(private readonly options: PeerLinkOptions) {
    super()
    this.outbox = new Outbox(options, options.firstSequence)
  }

  get isUp(): boolean {
    return this.#up
  }

  /** Smoothed time from sending a batch to its receipt, in milliseconds; 0 before the first one. */
  get roundTripMs(): number {
    return this.#roundTripMs
  }

  override stepAll(now: number, events: readonly PeerLinkEvent[]): readonly PeerLinkAction[] {
    const actions = events.flatMap((event) => this.#handle(now, event))
    // Batches are formed after all events are handled, so that queued envelopes share a batch.
    return [...actions, ...this.#sendBatches(now)]
  }

  override step(now: number, event: PeerLinkEvent): readonly PeerLinkAction[] {
    return this.stepAll(now, [event])
  }

  override get tickDueAt(): number {
    const connection = this.#current
    if (!this.#up || connection === undefined || this.#candidate !== undefined) return -Infinity
    return this.#checkDueAt(connection)
  }

  /** Replaces a tick when nothing is due, so that the gap does not count as a stall. */
  recordAwake(now: number): void {
    this.#lastTickAt = now
  }

  /** Whether a timeout is due, or this process was stalled. */
  needsTick(now: number): boolean {
    return now >= this.tickDueAt || now - (this.#lastTickAt ?? now) >= STALL_MS
  }

  override tick(now: number): readonly PeerLinkAction[] {
    this.#discountStall(now)
    if (!this.#up) this.#dropStale(now)
    return [
      ...this.#checkCandidate(now),
      ...this.#checkDisconnected(now),
      ...this.#checkCurrent(now),
      ...this.#dialIfDue(now),
    ]
  }

  #handle(now: number, event: PeerLinkEvent): readonly PeerLinkAction[] {
    switch (event.kind) {
      case PeerLinkEventKind.EnvelopeQueued:
        this.#enqueue(now, event)
        return []
      case PeerLinkEventKind.ConnectionOpened:
        return this.#sendEmptyBatch(now, this.#findConnection(event.connection))
      case PeerLinkEventKind.ReceiptArrived:
        return this.#handleReceipt(now, event)
      case PeerLinkEventKind.ConnectionClosed:
        return this.#handleClosed(now, event)
      default:
        return exhaustive(event)
    }
  }

  /** While the peer is down, a full queue drops its oldest envelopes: newer ones are worth more. */
  #enqueue(now: number, { envelope, bytes }: { envelope: Envelope; bytes: number }): void {
    const { counters } = this.options
    while (!this.outbox.hasRoomFor(bytes) && !this.#up && this.outbox.size > 0) {
      counters.dropped += this.outbox.dropOldest()
    }
    if (this.outbox.hasRoomFor(bytes)) this.outbox.add(now, envelope, bytes)
    else counters.dropped += 1
  }

  #findConnection(id: number): Connection | undefined {
    if (this.#current?.id === id) return this.#current
    return this.#candidate?.id === id ? this.#candidate : undefined
  }

  /** The receipt for an empty batch proves that the connection carries data both ways. */
  #sendEmptyBatch(now: number, connection: Connection | undefined): readonly PeerLinkAction[] {
    if (connection === undefined) return []
    return [this.#send(now, connection, this.outbox.floor, [])]
  }

  #send(
    now: number,
    connection: Connection,
    sequence: number,
    envelopes: readonly Envelope[],
  ): PeerLinkAction {
    connection.inFlight.push({ sequence, sentAt: now })
    connection.lastSentAt = now
    return { kind: PeerLinkActionKind.SendBatch, connection: connection.id, sequence, envelopes }
  }

  #sendBatches(now: number): readonly PeerLinkAction[] {
    const connection = this.#current
    // While a candidate is probed, the old connection gets no new batches: they would be resent.
    if (connection === undefined || this.#candidate !== undefined) return []
    const actions: PeerLinkAction[] = []
    while (this.outbox.inFlight < this.options.maxBatchesInFlight) {
      const batch = this.outbox.takeBatch()
      if (batch === undefined) break
      this.#countBatch(batch)
      actions.push(this.#send(now, connection, batch.sequence, batch.envelopes))
    }
    return actions
  }

  #countBatch(batch: { attempts: number; envelopes: readonly unknown[]; bytes: number }): void {
    const { counters } = this.options
    counters.batchesSent += 1
    if (batch.attempts > 1) {
      counters.batchesResent += 1
      return
    }
    counters.sent += batch.envelopes.length
    counters.bytesSent += batch.bytes
  }

  #handleReceipt(
    now: number,
    { connection: id, sequence, boot }: Receipt,
  ): readonly PeerLinkAction[] {
    const connection = this.#findConnection(id)
    // A late receipt from a replaced connection still acknowledges batches.
    this.outbox.acknowledge(sequence)
    if (connection === undefined) return []
    connection.lastHeardAt = now
    connection.peerBoot = boot
    this.#removeAcknowledged(now, connection, sequence)
    if (connection === this.#candidate) return this.#promote(now, connection)
    return this.#closeCandidate()
  }

  /**
   * A receipt may acknowledge several batches. The round trip is measured from the latest of them,
   * which waited the shortest time for its receipt.
   */
  #removeAcknowledged(now: number, { inFlight }: Connection, sequence: number): void {
    let latest: InFlightBatch | undefined
    while ((inFlight[0]?.sequence ?? Infinity) <= sequence) latest = inFlight.shift()
    if (latest !== undefined) this.#updateRoundTrip(now - latest.sentAt)
  }

  #updateRoundTrip(sampleMs: number): void {
    this.#roundTripSamples += 1
    const weight = Math.max(ROUND_TRIP_WEIGHT, 1 / this.#roundTripSamples)
    this.#roundTripMs += (sampleMs - this.#roundTripMs) * weight
  }

  #promote(now: number, connection: Connection): readonly PeerLinkAction[] {
    const actions: PeerLinkAction[] = []
    const old = this.#current
    if (old !== undefined) actions.push({ kind: PeerLinkActionKind.Close, connection: old.id })
    this.#current = connection
    this.#candidate = undefined
    connection.firstReceiptAt = now
    this.#failedDials = 0
    actions.push(...this.#dropIfPeerRestarted(connection))
    this.outbox.rewind()
    // Also while the peer is up: a batch that breaks every stream it is sent on must not block the
    // queue for longer than `staleAfterMs`.
    this.#dropStale(now)
    if (this.#up) {
      actions.push(this.#log(old === undefined ? 'reconnected' : 'silent connection replaced'))
      return actions
    }
    this.#up = true
    this.#lastDialError = ''
    actions.push({ kind: PeerLinkActionKind.ReportUp, roundTripMs: this.#roundTripMs })
    return actions
  }

  /**
   * Drops the messages that an earlier process of the peer may have received. A new process doesn't
   * know what the earlier one received, so its reply to a resent message could be wrong.
   */
  #dropIfPeerRestarted({ peerBoot }: Connection): readonly PeerLinkAction[] {
    const earlier = this.#peerBoot
    this.#peerBoot = peerBoot
    if (earlier === undefined) return []
    if (earlier === peerBoot && peerBoot !== UNKNOWN_BOOT) return []
    const dropped = this.outbox.dropUnacknowledged()
    this.options.counters.droppedInDoubt += dropped
    return [this.#log(`started again (boot ${peerBoot}), messages given up: ${dropped}`)]
  }

  #closeCandidate(): readonly PeerLinkAction[] {
    const candidate = this.#candidate
    if (candidate === undefined) return []
    this.#candidate = undefined
    return [{ kind: PeerLinkActionKind.Close, connection: candidate.id }]
  }

  #handleClosed(
    now: number,
    event: { connection: number; reason: string; refused: boolean },
  ): readonly PeerLinkAction[] {
    if (event.connection === this.#candidate?.id) {
      this.#candidate = undefined
      return this.#dialFailed(now, event.reason, event.refused)
    }
    if (event.connection !== this.#current?.id) return []
    const wasStable = now - this.#current.firstReceiptAt > this.options.reconnectMaxMs
    this.#current = undefined
    this.#disconnectedAt = now
    this.#failures = wasStable ? 0 : this.#failures + 1
    this.#nextDialAt = now + this.#dialDelay(event.refused)
    // No new dial if there is a candidate: it becomes the new connection.
    return [this.#log(`connection lost: ${event.reason}`), ...this.#dialIfDue(now)]
  }

  /** Handles a failed candidate: the peer is down, or still down. */
  #dialFailed(now: number, reason: string, refused: boolean): readonly PeerLinkAction[] {
    this.#failures += 1
    this.#failedDials += 1
    this.#nextDialAt = now + this.#dialDelay(refused)
    const actions = this.#up ? [...this.#markDown(now)] : []
    if (reason !== this.#lastDialError) actions.push(this.#log(`dial failed: ${reason}`))
    this.#lastDialError = reason
    return actions
  }

  #markDown(now: number): readonly PeerLinkAction[] {
    const current = this.#current
    this.#up = false
    this.#current = undefined
    this.outbox.rewind()
    this.#dropStale(now)
    const down: PeerLinkAction = { kind: PeerLinkActionKind.ReportDown }
    if (current === undefined) return [down]
    return [{ kind: PeerLinkActionKind.Close, connection: current.id }, down]
  }

  /** Exponential backoff with jitter, so that instances don't redial a restarted peer in step. */
  #dialDelay(refused: boolean): number {
    const { reconnectMinMs, reconnectMaxMs, peer } = this.options
    if (this.#failures === 0) return 0
    const backoffMs = reconnectMinMs * 2 ** (this.#failures - 1)
    const limit = refused ? reconnectMaxMs : Math.min(reconnectMaxMs, backoffMs)
    const digits = hash64(`${peer}/${this.#lastConnectionId}`).slice(0, HASH_DIGITS)
    const fraction = Number.parseInt(digits, 16) / HASH_RANGE
    return reconnectMinMs + (limit - reconnectMinMs) * fraction
  }

  #dropStale(now: number): void {
    const { counters, staleAfterMs } = this.options
    counters.droppedStale += this.outbox.dropOlderThan(now - staleAfterMs)
  }

  /** Excludes time in which this process was stalled from the silence and probe timeouts. */
  #discountStall(now: number): void {
    const gap = now - (this.#lastTickAt ?? now)
    this.#lastTickAt = now
    if (gap < STALL_MS) return
    const current = this.#current
    if (current !== undefined) current.lastHeardAt = Math.min(now, silentSince(current) + gap)
    const candidate = this.#candidate
    if (candidate !== undefined) candidate.dialledAt = Math.min(now, candidate.dialledAt + gap)
  }

  #checkCandidate(now: number): readonly PeerLinkAction[] {
    const candidate = this.#candidate
    if (candidate === undefined) return []
    if (now - candidate.dialledAt < this.#candidateTimeoutMs()) return []
    return [
      ...this.#closeCandidate(),
      ...this.#dialFailed(now, 'no receipt within the probe timeout', false),
    ]
  }

  /**
   * How long the first receipt may take; longer after each failed dial, since a peer that is slow, or
   * that all others dial at the same time, would otherwise never be connected.
   */
  #candidateTimeoutMs(): number {
    const { probeTimeoutMs, maxProbeTimeoutMs } = this.options
    const limitMs = Math.max(probeTimeoutMs, maxProbeTimeoutMs)
    return Math.min(limitMs, probeTimeoutMs * 2 ** this.#failedDials)
  }

  /** Marks the peer as down if a lost connection was not redialled within the probe timeout. */
  #checkDisconnected(now: number): readonly PeerLinkAction[] {
    if (!this.#up || this.#current !== undefined || this.#candidate !== undefined) return []
    return now - this.#disconnectedAt < this.options.probeTimeoutMs ? [] : this.#markDown(now)
  }

  #checkCurrent(now: number): readonly PeerLinkAction[] {
    const connection = this.#current
    if (connection === undefined || this.#candidate !== undefined) return []
    if (now < this.#checkDueAt(connection)) return []
    if (connection.inFlight.length === 0) return this.#sendEmptyBatch(now, connection)
    this.options.counters.silentConnections += 1
    return [this.#log('no receipt, probing on a new connection'), ...this.#dial(now)]
  }

  /** When an empty batch is due on an idle connection, or else a probe for a missing receipt. */
  #checkDueAt(connection: Connection): number {
    const { keepAliveMs, silentAfterMs } = this.options
    if (connection.inFlight.length === 0) return connection.lastSentAt + keepAliveMs
    return silentSince(connection) + silentAfterMs
  }

  #dialIfDue(now: number): readonly PeerLinkAction[] {
    if (this.#current !== undefined || this.#candidate !== undefined) return []
    return now < this.#nextDialAt ? [] : this.#dial(now)
  }

  #dial(now: number): readonly PeerLinkAction[] {
    if (this.#lastConnectionId > 0) this.options.counters.reconnects += 1
    this.#lastConnectionId += 1
    const id = this.#lastConnectionId
    this.#candidate = {
      id,
      dialledAt: now,
      inFlight: [],
      lastSentAt: now,
      lastHeardAt: now,
      firstReceiptAt: now,
      peerBoot: undefined,
    }
    return [{ kind: PeerLinkActionKind.Dial, connection: id }]
  }

  #log(line: string): PeerLinkAction {
    return { kind: PeerLinkActionKind.Log, line: `${this.options.peer}: ${line}` }
  }
}

/**
 * When the oldest unacknowledged batch was sent or the connection was last heard from, whichever is
 * later.
 */
function silentSince({ inFlight, lastHeardAt }: Connection): number {
  return Math.max(inFlight[0]?.sentAt ?? lastHeardAt, lastHeardAt)
}
