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
const seeds = [1, 2, 3, 4, 5, 6, 7, 8]

type SentBatch = Extract<PeerLinkAction, { kind: PeerLinkActionKind.SendBatch }>

/**
 * A link and its receiver in pure form: the connections between them keep order, lose a tail,
 * or go silent in either direction.
 */
class SimulatedPair {
  now = 0
  readonly delivered: number[] = []
  /** What each process of the receiver was given: those that have ended, then the present one. */
  readonly givenToProcess: number[][] = [this.delivered]
  readonly changes: string[] = []
  readonly counters = newLinkCounters()
  readonly link: PeerLink
  inbox = new Inbox(4)
  readonly open = new Map<number, { batches: SentBatch[]; silent: boolean; deaf: boolean }>()
  silenceNew = false
  /** A receiver of an earlier version names no boot in its receipts. */
  namesBoot = true
  #streams = new Map<number, number>()

  constructor(maxBatchEnvelopes = 4) {
    const tuning = { ...defaultLinkTuning, maxBatchEnvelopes, staleAfterMs: 1e9 }
    this.link = new PeerLink({ ...tuning, peer: 'b', counters: this.counters })
  }

  /** What the receiver's receipts name. */
  get boot(): number {
    return this.namesBoot ? this.givenToProcess.length : 0
  }

  tell(event: PeerLinkEvent): void {
    this.#perform(this.link.stepAll(this.now, [event]))
  }

  queue(n: number): void {
    this.tell({ kind: PeerLinkEventKind.EnvelopeQueued, envelope: numbered(n), bytes: 20 })
  }

  /** Time goes on by a tick, and the network moves up to `moves` batches of each connection. */
  pass(moves: number): void {
    this.now += tickMs
    this.#perform(this.link.tick(this.now))
    for (const id of [...this.open.keys()]) for (let i = 0; i < moves; i++) this.#move(id)
  }

  passFor(ms: number): void {
    for (let passed = 0; passed < ms; passed += tickMs) this.pass(10)
  }

  silenceAll(): void {
    for (const connection of this.open.values()) connection.silent = true
  }

  reset(id: number): void {
    this.open.delete(id)
    const end = { reason: 'reset', refused: false }
    this.tell({ kind: PeerLinkEventKind.ConnectionClosed, connection: id, ...end })
  }

  #move(id: number): void {
    const connection = this.open.get(id)
    const batch = connection?.silent === false ? connection.batches.shift() : undefined
    if (connection === undefined || batch === undefined) return
    const sequence = this.#receive(id, batch)
    if (sequence === undefined) this.reset(id)
    else if (!connection.deaf) {
      const receipt = { connection: id, sequence, boot: this.boot }
      this.tell({ kind: PeerLinkEventKind.ReceiptArrived, ...receipt })
    }
  }

  /** The receiver's process ends with all connections to it, and the next one starts. */
  restartReceiver(): void {
    this.inbox = new Inbox(4)
    this.#streams = new Map()
    this.givenToProcess.push([])
    for (const id of [...this.open.keys()]) this.reset(id)
  }

  /** What the receiver answers; undefined when it ends the stream. */
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
        this.givenToProcess.at(-1)?.push(body.case === 'jobQuery' ? Number(body.value.jobId) : NaN)
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
    this.open.set(connection, { batches: [], silent: this.silenceNew, deaf: false })
    this.tell({ kind: PeerLinkEventKind.ConnectionOpened, connection })
  }
}

/** Gives whole numbers from 0 up to a limit. */
type Draw = (limit: number) => number

/** A small generator with a fixed seed. */
function randomOf(seed: number): Draw {
  let state = seed
  return (limit) => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return Math.floor((state / 2 ** 32) * limit)
  }
}

const ROUNDS = 3_000

/**
 * Queues numbers from 1 on under random resets and silence.
 *
 * @param further - one more fault, as rare as each of the others
 * @returns how many numbers were queued
 */
function playFaults(
  pair: SimulatedPair,
  seed: number,
  further: (random: Draw) => void,
  onRound: () => void = () => undefined,
): number {
  const random = randomOf(seed)
  let sent = 0
  for (let round = 0; round < ROUNDS; round++) {
    for (let i = random(4); i > 0; i--) pair.queue(++sent)
    const connections = [...pair.open.values()]
    const hit = connections[random(connections.length)]
    const fault = random(60)
    if (fault === 0 && hit !== undefined) hit.silent = true
    if (fault === 1 && hit !== undefined) hit.deaf = true
    if (fault === 2) pair.reset([...pair.open.keys()][0] ?? 0)
    if (fault === 3) further(random)
    pair.pass(random(3))
    onRound()
  }
  return sent
}

describe('PeerLink', () => {
  for (const seed of seeds) {
    it(`delivers each message once and in order under resets and silence, seed ${seed}`, () => {
      const pair = new SimulatedPair()
      const silenceNew = (random: Draw): void => {
        pair.silenceNew = random(4) === 0
      }
      const sent = playFaults(pair, seed, silenceNew, () => {
        assert.deepEqual(
          pair.delivered.slice(-1),
          pair.delivered.length > 0 ? [pair.delivered.length] : [],
        )
      })
      pair.silenceNew = false
      pair.passFor(10_000)
      assert.deepEqual(pair.delivered, range(1, sent))
      assert.ok(pair.counters.batchesResent > 0)
      assert.equal(pair.link.outbox.size, 0)
    })
  }

  it('hands no message to two processes of its peer', () => {
    for (const seed of seeds) {
      const pair = new SimulatedPair()
      const sent = playFaults(pair, seed, () => {
        pair.restartReceiver()
      })
      pair.passFor(10_000)
      const given = pair.givenToProcess.flat()
      assert.ok(pair.givenToProcess.length > 10)
      assert.ok(given.length > sent / 2, `seed ${seed}: ${given.length} of ${sent} arrived`)
      assert.equal(new Set(given).size, given.length, `seed ${seed}`)
      assert.equal(pair.link.outbox.size, 0)
    }
  })

  const receivers = [
    {
      namesBoot: true,
      title: 'gives a peer that has started again only what an earlier process was not sent',
    },
    {
      namesBoot: false,
      title: 'takes each connection for one to a new process where receipts name none',
    },
  ]
  for (const { namesBoot, title } of receivers) {
    it(title, () => {
      const pair = new SimulatedPair()
      pair.namesBoot = namesBoot
      pair.passFor(1000)
      pair.silenceAll()
      pair.queue(1)
      pair.pass(1)
      pair.restartReceiver()
      pair.queue(2)
      pair.passFor(1000)
      assert.deepEqual(pair.givenToProcess, [[], [2]])
    })
  }

  it('reports a lost peer within the sum of its limits, and only after the probe failed', () => {
    const pair = new SimulatedPair()
    pair.passFor(1000)
    pair.silenceAll()
    pair.silenceNew = true
    pair.passFor(silentAfterMs)
    assert.deepEqual(pair.changes, [PeerLinkActionKind.ReportUp])
    pair.passFor(keepAliveMs + probeTimeoutMs + 2 * tickMs)
    assert.deepEqual(pair.changes, [PeerLinkActionKind.ReportUp, PeerLinkActionKind.ReportDown])
  })

  it('does not take its own standstill for silence of the peer', () => {
    const pair = new SimulatedPair()
    pair.passFor(1000)
    pair.queue(1)
    pair.now += 30_000
    pair.passFor(500)
    assert.deepEqual(pair.delivered, [1])
    assert.equal(pair.counters.silentConnections, 0)
  })

  it('still finds a silent peer when this process stands still again and again', () => {
    const pair = new SimulatedPair()
    pair.passFor(1000)
    pair.silenceAll()
    for (let stalls = 0; stalls < 8; stalls++) {
      pair.now += 400
      pair.passFor(200)
    }
    assert.equal(pair.counters.silentConnections, 1)
  })

  it('dials a peer that resets every connection at a falling rate', () => {
    const pair = new SimulatedPair()
    for (let passed = 0; passed < 10_000; passed += tickMs) {
      for (const id of [...pair.open.keys()]) pair.reset(id)
      pair.pass(0)
    }
    assert.ok(pair.counters.reconnects > 5)
    assert.ok(pair.counters.reconnects < 60, `${pair.counters.reconnects} dials`)
  })
})
