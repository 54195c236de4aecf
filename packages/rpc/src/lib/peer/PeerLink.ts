import type { Envelope } from '@cherryhitch/protocol'
import { exhaustive, hash64 } from '@cherryhitch/model'
import { Machine } from '@cherryhitch/runtime'
import type { LinkCounters } from '../host/LinkCounters'
import type { LinkTuning } from '../host/LinkHostOptions'
import { Outbox } from './Outbox'
import type { PeerLinkAction } from './PeerLinkAction'
import { PeerLinkActionKind } from './PeerLinkAction'
import type { PeerLinkEvent } from './PeerLinkEvent'
import { PeerLinkEventKind } from './PeerLinkEvent'

type Receipt = Extract<PeerLinkEvent, { kind: PeerLinkEventKind.ReceiptArrived }>

/** A batch that was handed over to a connection. */
interface UnansweredBatch {
  readonly sequence: number
  readonly sentAt: number
}

/** One connection as the machine sees it. */
interface Connection {
  readonly id: number
  dialledAt: number
  /** The batches without a receipt, in the order in which they were handed over. */
  readonly unanswered: UnansweredBatch[]
  lastSentAt: number
  lastHeardAt: number
  /** When its first receipt came. */
  provenAt: number
  /** Boot of the process at its other end; undefined before the first receipt. */
  peerBoot: number | undefined
}

/** @internal */
export interface PeerLinkOptions extends LinkTuning {
  readonly peer: string
  /** Shared with the other links of the host. */
  readonly counters: LinkCounters
  /** Goes on from an earlier link of this process to the same peer. */
  readonly firstSequence?: number
}

/** Weight of a new sample in the smoothed round trip, as in RFC 6298. */
const ROUND_TRIP_WEIGHT = 1 / 8
/**
 * Nobody looked after the link for so long, in milliseconds: this process stood still. It is half
 * as much again as the slowest pace at which that is done.
 */
const STALL_MS = 300
/** In the receipts of versions that don't name their process: any connection may lead to a new one. */
const UNNAMED_BOOT = 0
const HASH_RANGE = 0xffffffff
const HASH_DIGITS = 8

/**
 * Decides on one outgoing link: when to dial, to probe, to resend, to give up.
 *
 * At most two connections exist: the current one, and a candidate that was dialled because the
 * current one is missing or silent. The candidate must answer an empty batch before it takes
 * over, and it replaces the current one without the peer being reported as down.
 *
 * A message is handed to one process of the peer at most, so an answer to it is that of the process
 * that may have acted on it.
 *
 * @internal
 */
export class PeerLink extends Machine<PeerLinkEvent, PeerLinkAction> {
  readonly outbox: Outbox
  #up = false
  #current: Connection | undefined
  #candidate: Connection | undefined
  #lastId = 0
  /** Failed dials since a connection last proved durable. */
  #failures = 0
  #nextDialAt = 0
  #lostAt = 0
  #lastTickAt: number | undefined
  #roundTripMs = 0
  #samples = 0
  #lastReason = ''
  /** Boot of the process that the last proven connection led to. */
  #peerBoot: number | undefined

  constructor(private readonly options: PeerLinkOptions) {
    super()
    this.outbox = new Outbox(options, options.firstSequence)
  }

  get isUp(): boolean {
    return this.#up
  }

  /** Smoothed time from handing a batch over to its receipt; 0 before the first one. */
  get roundTripMs(): number {
    return this.#roundTripMs
  }

  override stepAll(now: number, events: readonly PeerLinkEvent[]): readonly PeerLinkAction[] {
    const actions = events.flatMap((event) => this.#handle(now, event))
    // Batches are formed once all events are in, so what is ready travels together.
    return [...actions, ...this.#sendBatches(now)]
  }

  override step(now: number, event: PeerLinkEvent): readonly PeerLinkAction[] {
    return this.stepAll(now, [event])
  }

  override get tickDueAt(): number {
    const connection = this.#current
    if (!this.#up || connection === undefined || this.#candidate !== undefined) return -Infinity
    return this.#silentAt(connection)
  }

  /** This process is awake, though nothing is due: it takes the place of a tick. */
  noteAwake(now: number): void {
    this.#lastTickAt = now
  }

  /** Whether time alone has something to do, or this process stood still. */
  needsTick(now: number): boolean {
    return now >= this.tickDueAt || now - (this.#lastTickAt ?? now) >= STALL_MS
  }

  override tick(now: number): readonly PeerLinkAction[] {
    this.#excuseStall(now)
    if (!this.#up) this.#dropStale(now)
    return [
      ...this.#checkCandidate(now),
      ...this.#checkLoss(now),
      ...this.#checkCurrent(now),
      ...this.#dialIfDue(now),
    ]
  }

  #handle(now: number, event: PeerLinkEvent): readonly PeerLinkAction[] {
    switch (event.kind) {
      case PeerLinkEventKind.EnvelopeQueued:
        this.#queue(now, event)
        return []
      case PeerLinkEventKind.ConnectionOpened:
        return this.#askForAnswer(now, this.#find(event.connection))
      case PeerLinkEventKind.ReceiptArrived:
        return this.#takeReceipt(now, event)
      case PeerLinkEventKind.ConnectionClosed:
        return this.#takeClosed(now, event)
      default:
        return exhaustive(event)
    }
  }

  /** While the peer is down the newest envelopes are the ones worth keeping. */
  #queue(now: number, { envelope, bytes }: { envelope: Envelope; bytes: number }): void {
    const { counters } = this.options
    while (!this.outbox.hasRoomFor(bytes) && !this.#up && this.outbox.size > 0) {
      counters.dropped += this.outbox.dropOldest()
    }
    if (this.outbox.hasRoomFor(bytes)) this.outbox.add(now, envelope, bytes)
    else counters.dropped += 1
  }

  #find(id: number): Connection | undefined {
    if (this.#current?.id === id) return this.#current
    return this.#candidate?.id === id ? this.#candidate : undefined
  }

  /** An empty batch: its receipt proves that the connection carries data both ways. */
  #askForAnswer(now: number, connection: Connection | undefined): readonly PeerLinkAction[] {
    if (connection === undefined) return []
    return [this.#send(now, connection, this.outbox.floor, [])]
  }

  #send(
    now: number,
    connection: Connection,
    sequence: number,
    envelopes: readonly Envelope[],
  ): PeerLinkAction {
    connection.unanswered.push({ sequence, sentAt: now })
    connection.lastSentAt = now
    return { kind: PeerLinkActionKind.SendBatch, connection: connection.id, sequence, envelopes }
  }

  #sendBatches(now: number): readonly PeerLinkAction[] {
    const connection = this.#current
    // While it is being probed it gets nothing more: all of that would be sent twice.
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

  #takeReceipt(
    now: number,
    { connection: id, sequence, boot }: Receipt,
  ): readonly PeerLinkAction[] {
    const connection = this.#find(id)
    // A late receipt of a connection that was replaced still says what arrived.
    this.outbox.acknowledge(sequence)
    if (connection === undefined) return []
    connection.lastHeardAt = now
    connection.peerBoot = boot
    this.#settle(now, connection, sequence)
    if (connection === this.#candidate) return this.#promote(now, connection)
    return this.#closeCandidate()
  }

  /** A receipt may be for several batches; the newest of them has waited for it the least. */
  #settle(now: number, { unanswered }: Connection, sequence: number): void {
    let newest: UnansweredBatch | undefined
    while ((unanswered[0]?.sequence ?? Infinity) <= sequence) newest = unanswered.shift()
    if (newest !== undefined) this.#measure(now - newest.sentAt)
  }

  #measure(sampleMs: number): void {
    this.#samples += 1
    const weight = Math.max(ROUND_TRIP_WEIGHT, 1 / this.#samples)
    this.#roundTripMs += (sampleMs - this.#roundTripMs) * weight
  }

  #promote(now: number, connection: Connection): readonly PeerLinkAction[] {
    const actions: PeerLinkAction[] = []
    const old = this.#current
    if (old !== undefined) actions.push({ kind: PeerLinkActionKind.Close, connection: old.id })
    this.#current = connection
    this.#candidate = undefined
    connection.provenAt = now
    actions.push(...this.#noteProcess(connection))
    this.outbox.rewind()
    // Also while up: a batch that ends every stream it travels on must not block the rest.
    this.#dropStale(now)
    if (this.#up) {
      actions.push(
        this.#log(old === undefined ? 'connection renewed' : 'silent connection replaced'),
      )
      return actions
    }
    this.#up = true
    this.#lastReason = ''
    actions.push({ kind: PeerLinkActionKind.ReportUp, roundTripMs: this.#roundTripMs })
    return actions
  }

  /**
   * Gives up what an earlier process of the peer may have taken. The next one can't know, so what it
   * says of a message that it is given as well would not be true of the message.
   */
  #noteProcess({ peerBoot }: Connection): readonly PeerLinkAction[] {
    const earlier = this.#peerBoot
    this.#peerBoot = peerBoot
    if (earlier === undefined) return []
    if (earlier === peerBoot && peerBoot !== UNNAMED_BOOT) return []
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

  #takeClosed(
    now: number,
    event: { connection: number; reason: string; refused: boolean },
  ): readonly PeerLinkAction[] {
    if (event.connection === this.#candidate?.id) {
      this.#candidate = undefined
      return this.#dialFailed(now, event.reason, event.refused)
    }
    if (event.connection !== this.#current?.id) return []
    const livedLong = now - this.#current.provenAt > this.options.reconnectMaxMs
    this.#current = undefined
    this.#lostAt = now
    this.#failures = livedLong ? 0 : this.#failures + 1
    this.#nextDialAt = now + this.#dialDelay(event.refused)
    // A candidate that is under way already is the new connection.
    return [this.#log(`connection lost: ${event.reason}`), ...this.#dialIfDue(now)]
  }

  /** The new connection failed too: the peer is down, or still down. */
  #dialFailed(now: number, reason: string, refused: boolean): readonly PeerLinkAction[] {
    this.#failures += 1
    this.#nextDialAt = now + this.#dialDelay(refused)
    const actions = this.#up ? [...this.#goDown(now)] : []
    if (reason !== this.#lastReason) actions.push(this.#log(`dial failed: ${reason}`))
    this.#lastReason = reason
    return actions
  }

  #goDown(now: number): readonly PeerLinkAction[] {
    const current = this.#current
    this.#up = false
    this.#current = undefined
    this.outbox.rewind()
    this.#dropStale(now)
    const down: PeerLinkAction = { kind: PeerLinkActionKind.ReportDown }
    if (current === undefined) return [down]
    return [{ kind: PeerLinkActionKind.Close, connection: current.id }, down]
  }

  /** Exponential, with jitter so that instances do not dial a restarted one in step. */
  #dialDelay(refused: boolean): number {
    const { reconnectMinMs, reconnectMaxMs, peer } = this.options
    if (this.#failures === 0) return 0
    const grown = reconnectMinMs * 2 ** (this.#failures - 1)
    const limit = refused ? reconnectMaxMs : Math.min(reconnectMaxMs, grown)
    const digits = hash64(`${peer}/${this.#lastId}`).slice(0, HASH_DIGITS)
    const fraction = Number.parseInt(digits, 16) / HASH_RANGE
    return reconnectMinMs + (limit - reconnectMinMs) * fraction
  }

  #dropStale(now: number): void {
    const { counters, staleAfterMs } = this.options
    counters.droppedStale += this.outbox.dropOlderThan(now - staleAfterMs)
  }

  /** Silence means nothing while this process itself stood still: that time is left out. */
  #excuseStall(now: number): void {
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
    if (now - candidate.dialledAt < this.options.probeTimeoutMs) return []
    return [...this.#closeCandidate(), ...this.#dialFailed(now, 'no answer', false)]
  }

  /** A lost connection that could not be dialled again soon makes the peer count as down. */
  #checkLoss(now: number): readonly PeerLinkAction[] {
    if (!this.#up || this.#current !== undefined || this.#candidate !== undefined) return []
    return now - this.#lostAt < this.options.probeTimeoutMs ? [] : this.#goDown(now)
  }

  #checkCurrent(now: number): readonly PeerLinkAction[] {
    const connection = this.#current
    if (connection === undefined || this.#candidate !== undefined) return []
    if (now < this.#silentAt(connection)) return []
    if (connection.unanswered.length === 0) return this.#askForAnswer(now, connection)
    this.options.counters.silentConnections += 1
    return [this.#log('no answer, probing'), ...this.#dial(now)]
  }

  /** When an idle connection is asked for an answer, or one that owes an answer is probed. */
  #silentAt(connection: Connection): number {
    const { keepAliveMs, silentAfterMs } = this.options
    if (connection.unanswered.length === 0) return connection.lastSentAt + keepAliveMs
    return silentSince(connection) + silentAfterMs
  }

  #dialIfDue(now: number): readonly PeerLinkAction[] {
    if (this.#current !== undefined || this.#candidate !== undefined) return []
    return now < this.#nextDialAt ? [] : this.#dial(now)
  }

  #dial(now: number): readonly PeerLinkAction[] {
    if (this.#lastId > 0) this.options.counters.reconnects += 1
    this.#lastId += 1
    const id = this.#lastId
    this.#candidate = {
      id,
      dialledAt: now,
      unanswered: [],
      lastSentAt: now,
      lastHeardAt: now,
      provenAt: now,
      peerBoot: undefined,
    }
    return [{ kind: PeerLinkActionKind.Dial, connection: id }]
  }

  #log(line: string): PeerLinkAction {
    return { kind: PeerLinkActionKind.Log, line: `${this.options.peer}: ${line}` }
  }
}

/** Since when the connection owes an answer, or was last heard of. */
function silentSince({ unanswered, lastHeardAt }: Connection): number {
  return Math.max(unanswered[0]?.sentAt ?? lastHeardAt, lastHeardAt)
}
