import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { numbered, range } from '../fixtures/TestInstance'
import { newLinkCounters } from '../host/LinkCounters'
import { defaultLinkTuning } from '../host/LinkHostOptions'
import { Inbox, InboxVerdict } from '../server/Inbox'
import { PeerLink } from './PeerLink'
import type { PeerLinkAction } from './PeerLinkAction'
import { PeerLinkActionKind } from './PeerLinkAction'
import type { PeerLinkEvent } from './PeerLinkEvent'
import { PeerLinkEventKind } from './PeerLinkEvent'

const { tickMs, silentAfterMs, keepAliveMs, probeTimeoutMs } = defaultLinkTuning
/** A replacement has 4 s to catch up, of which the links may take half. */
const RECONNECT_LIMIT_MS = 2_000
const seeds = [1, 2, 3, 4, 5, 6, 7, 8]

type SentBatch = Extract<PeerLinkAction, { kind: PeerLinkActionKind.SendBatch }>

/**
 * Simulates a link and its receiver without sockets. The connections between them keep order, lose
 * the last batches, or go silent in either direction.
 */
class SimulatedPair {
  now = 0
  readonly delivered: number[] = []
  /** Numbers delivered to each process of the receiver; the last one is the running process. */
  readonly deliveredByProcess: number[][] = [this.delivered]
  readonly changes: string[] = []
  readonly counters = newLinkCounters()
  readonly link: PeerLink
  inbox = new Inbox(4)
  readonly open = new Map<
    number,
    { batches: SentBatch[]; silent: boolean; receiptsLost: boolean }
  >()
  silenceNew = false
  /** Whether receipts carry a boot number; those of an earlier version don't. */
  sendsBoot = true
  #streams = new Map<number, number>()

  constructor(maxBatchEnvelopes = 4) {
    const tuning = { ...defaultLinkTuning, maxBatchEnvelopes, staleAfterMs: 1e9 }
    this.link = new PeerLink({ ...tuning, peer: 'b', counters: this.counters })
  }

  /** Boot number in the receipts; 0 if the receiver doesn't send one. */
  get boot(): number {
    return this.sendsBoot ? this.deliveredByProcess.length : 0
  }

  handle(event: PeerLinkEvent): void {
    this.#perform(this.link.stepAll(this.now, [event]))
  }

  queue(n: number): void {
    this.handle({ kind: PeerLinkEventKind.EnvelopeQueued, envelope: numbered(n), bytes: 20 })
  }

  /** Advances the time by one tick and delivers up to `maxBatches` batches of each connection. */
  advance(maxBatches: number): void {
    this.now += tickMs
    this.#perform(this.link.tick(this.now))
    for (const id of [...this.open.keys()])
      for (let i = 0; i < maxBatches; i++) this.#deliverNext(id)
  }

  advanceBy(ms: number): void {
    for (let elapsed = 0; elapsed < ms; elapsed += tickMs) this.advance(10)
  }

  silenceAll(): void {
    for (const connection of this.open.values()) connection.silent = true
  }

  reset(id: number): void {
    this.open.delete(id)
    const end = { reason: 'reset', refused: false }
    this.handle({ kind: PeerLinkEventKind.ConnectionClosed, connection: id, ...end })
  }

  #deliverNext(id: number): void {
    const connection = this.open.get(id)
    const batch = connection?.silent === false ? connection.batches.shift() : undefined
    if (connection === undefined || batch === undefined) return
    const sequence = this.#receive(id, batch)
    if (sequence === undefined) this.reset(id)
    else if (!connection.receiptsLost) {
      const receipt = { connection: id, sequence, boot: this.boot }
      this.handle({ kind: PeerLinkEventKind.ReceiptArrived, ...receipt })
    }
  }

  /** Restarts the receiver's process, which closes all connections to it. */
  restartReceiver(): void {
    this.inbox = new Inbox(4)
    this.#streams = new Map()
    this.deliveredByProcess.push([])
    for (const id of [...this.open.keys()]) this.reset(id)
  }

  /** Returns the sequence of the receipt; undefined if the receiver ends the stream. */
  #receive(id: number, batch: SentBatch): number | undefined {
    if (!this.#streams.has(id)) {
      this.#streams.set(id, this.#streams.size + 1)
      this.inbox.open(0, 'a', 1, this.#streams.size)
    }
    const isEmpty = batch.envelopes.length === 0
    const stream = this.#streams.get(id) ?? 0
    const verdict = this.inbox.accept(0, {
      from: 'a',
      boot: 1,
      stream,
      sequence: batch.sequence,
      isEmpty,
    })
    if (verdict === InboxVerdict.Superseded) return undefined
    if (verdict === InboxVerdict.Deliver) {
      for (const { body } of batch.envelopes) {
        this.deliveredByProcess
          .at(-1)
          ?.push(body.case === 'jobQuery' ? Number(body.value.jobId) : NaN)
      }
    }
    return this.inbox.highest('a')
  }

  #perform(actions: readonly PeerLinkAction[]): void {
    for (const action of actions) {
      if (action.kind === PeerLinkActionKind.SendBatch) {
        this.open.get(action.connection)?.batches.push(action)
      } else if (action.kind === PeerLinkActionKind.Close) this.open.delete(action.connection)
      else if (action.kind === PeerLinkActionKind.Dial) this.#dial(action.connection)
      else if (action.kind !== PeerLinkActionKind.Log) this.changes.push(action.kind)
    }
  }

  #dial(connection: number): void {
    this.open.set(connection, { batches: [], silent: this.silenceNew, receiptsLost: false })
    this.handle({ kind: PeerLinkEventKind.ConnectionOpened, connection })
  }
}

/** Returns a random integer from 0 up to, but not including, a limit. */
type RandomBelow = (limit: number) => number

/** A linear congruential generator, so that a seed reproduces a run. */
function createRandom(seed: number): RandomBelow {
  let state = seed
  return (limit) => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return Math.floor((state / 2 ** 32) * limit)
  }
}

const ROUNDS = 3_000

/**
 * Queues the numbers from 1 on while connections are randomly reset or go silent.
 *
 * @param extraFault - injects one more kind of fault, as often as each of the others
 * @returns how many numbers were queued
 */
function runWithFaults(
  pair: SimulatedPair,
  seed: number,
  extraFault: (random: RandomBelow) => void,
  onRound: () => void = () => undefined,
): number {
  const random = createRandom(seed)
  let sent = 0
  for (let round = 0; round < ROUNDS; round++) {
    for (let i = random(4); i > 0; i--) pair.queue(++sent)
    const connections = [...pair.open.values()]
    const target = connections[random(connections.length)]
    const fault = random(60)
    if (fault === 0 && target !== undefined) target.silent = true
    if (fault === 1 && target !== undefined) target.receiptsLost = true
    if (fault === 2) pair.reset([...pair.open.keys()][0] ?? 0)
    if (fault === 3) extraFault(random)
    pair.advance(random(3))
    onRound()
  }
  return sent
}

describe('PeerLink', () => {
  for (const seed of seeds) {
    it(`delivers each message once and in order under resets and silence, seed ${seed}`, () => {
      const pair = new SimulatedPair()
      const silenceNew = (random: RandomBelow): void => {
        pair.silenceNew = random(4) === 0
      }
      const sent = runWithFaults(pair, seed, silenceNew, () => {
        assert.deepEqual(
          pair.delivered.slice(-1),
          pair.delivered.length > 0 ? [pair.delivered.length] : [],
        )
      })
      pair.silenceNew = false
      pair.advanceBy(10_000)
      assert.deepEqual(pair.delivered, range(1, sent))
      assert.ok(pair.counters.batchesResent > 0)
      assert.equal(pair.link.outbox.size, 0)
    })
  }

  it('delivers no message to two processes of its peer', () => {
    for (const seed of seeds) {
      const pair = new SimulatedPair()
      const sent = runWithFaults(pair, seed, () => {
        pair.restartReceiver()
      })
      pair.advanceBy(10_000)
      const deliveredNumbers = pair.deliveredByProcess.flat()
      assert.ok(pair.deliveredByProcess.length > 10)
      assert.ok(
        deliveredNumbers.length > sent / 2,
        `seed ${seed}: ${deliveredNumbers.length} of ${sent} arrived`,
      )
      assert.equal(new Set(deliveredNumbers).size, deliveredNumbers.length, `seed ${seed}`)
      assert.equal(pair.link.outbox.size, 0)
    }
  })

  const receivers = [
    {
      sendsBoot: true,
      title: 'sends a restarted peer only messages that were not sent to the earlier process',
    },
    {
      sendsBoot: false,
      title: 'assumes a new process for each connection if receipts carry no boot number',
    },
  ]
  for (const { sendsBoot, title } of receivers) {
    it(title, () => {
      const pair = new SimulatedPair()
      pair.sendsBoot = sendsBoot
      pair.advanceBy(1000)
      pair.silenceAll()
      pair.queue(1)
      pair.advance(1)
      pair.restartReceiver()
      pair.queue(2)
      pair.advanceBy(1000)
      assert.deepEqual(pair.deliveredByProcess, [[], [2]])
    })
  }

  it('reports a lost peer within the sum of its timeouts, and only after the probe failed', () => {
    const pair = new SimulatedPair()
    pair.advanceBy(1000)
    pair.silenceAll()
    pair.silenceNew = true
    pair.advanceBy(silentAfterMs)
    assert.deepEqual(pair.changes, [PeerLinkActionKind.ReportUp])
    pair.advanceBy(keepAliveMs + probeTimeoutMs + 2 * tickMs)
    assert.deepEqual(pair.changes, [PeerLinkActionKind.ReportUp, PeerLinkActionKind.ReportDown])
  })

  it('does not mistake a stall of its own process for silence of the peer', () => {
    const pair = new SimulatedPair()
    pair.advanceBy(1000)
    pair.queue(1)
    pair.now += 30_000
    pair.advanceBy(500)
    assert.deepEqual(pair.delivered, [1])
    assert.equal(pair.counters.silentConnections, 0)
  })

  it('still detects a silent peer if its own process stalls repeatedly', () => {
    const pair = new SimulatedPair()
    pair.advanceBy(1000)
    pair.silenceAll()
    for (let stalls = 0; stalls < 8; stalls++) {
      pair.now += 400
      pair.advanceBy(200)
    }
    assert.equal(pair.counters.silentConnections, 1)
  })

  it('carries messages soon after a silent cut of any length that heals for new connections', () => {
    for (let cutMs = 1_000; cutMs <= 30_000; cutMs += 290) {
      const pair = new SimulatedPair()
      pair.advanceBy(1_000)
      pair.silenceAll()
      pair.silenceNew = true
      pair.advanceBy(cutMs)
      pair.silenceNew = false
      pair.queue(1)
      pair.advanceBy(RECONNECT_LIMIT_MS)
      assert.deepEqual(pair.delivered, [1], `after a cut of ${cutMs} ms`)
    }
  })

  it('connects to a peer that takes longer than the first probe timeout to answer', () => {
    const link = new PeerLink({ ...defaultLinkTuning, peer: 'b', counters: newLinkCounters() })
    const answerMs = 1.5 * probeTimeoutMs
    const dialledAt = new Map<number, number>()
    for (let now = 0; now < 10_000; now += tickMs) {
      for (const action of link.tick(now)) {
        if (action.kind === PeerLinkActionKind.Dial) dialledAt.set(action.connection, now)
        if (action.kind === PeerLinkActionKind.Close) dialledAt.delete(action.connection)
      }
      for (const [connection, at] of dialledAt) {
        if (now - at !== answerMs) continue
        link.step(now, { kind: PeerLinkEventKind.ReceiptArrived, connection, sequence: 0, boot: 1 })
      }
    }
    assert.equal(link.isUp, true)
  })

  it('backs off when a peer resets every connection', () => {
    const pair = new SimulatedPair()
    for (let elapsed = 0; elapsed < 10_000; elapsed += tickMs) {
      for (const id of [...pair.open.keys()]) pair.reset(id)
      pair.advance(0)
    }
    assert.ok(pair.counters.reconnects > 5)
    assert.ok(pair.counters.reconnects < 60, `${pair.counters.reconnects} dials`)
  })
})
