import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import {
  CallOutcome,
  configurationOf,
  OperatorCluster,
  waitUntil,
} from './fixtures/OperatorCluster'

/** Minimum time over which operators call and instances fail, in milliseconds. */
const RUN_MS = 3_000
/** A run goes on until so many calls are acknowledged, however busy the machine is. */
const MIN_ACKNOWLEDGED = 120
const MAX_RUN_MS = 60_000
/** Orders in progress at once, as the page allows. */
const MAX_ORDERS = 8
/** So short that many answers come too late, as if they were lost. */
const SHORT_WAIT_MS = 25
const LONG_WAIT_MS = 2_000
const PAUSE_MS = 8
const FAULT_INTERVAL_MS = 450
/** Longer than an election, so that a leader that is cut off is replaced. */
const FAULT_MS = 300

/** One call of an operator, with times of one monotonic clock. */
interface Call {
  readonly kind: 'put' | 'read'
  readonly sentAt: number
  endedAt: number
  outcome: CallOutcome
  /** As sent, or as read. */
  document: string
}

enum Fault {
  Transfer,
  Restart,
  CutOff,
  Suspension,
}

const faults = [Fault.Transfer, Fault.Restart, Fault.CutOff, Fault.Suspension]

/** Mulberry32: the calls and faults of a run depend on its seed only, their times don't. */
function randomOf(seed: number): (below: number) => number {
  let state = seed
  return (below) => {
    state = (state + 0x6d2b79f5) | 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) % below
  }
}

function versionOf(document: string): number {
  return (JSON.parse(document) as { version: number }).version
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

/** Operators that send new, repeated, outdated and conflicting versions, and read, at any node. */
class RacingOperators {
  readonly calls: Call[] = []
  private readonly sent: string[] = []
  private version = 0
  private marks = 0
  private inProgress = 0

  constructor(
    private readonly cluster: OperatorCluster,
    private readonly random: (below: number) => number,
  ) {}

  async run(): Promise<void> {
    const startedAt = performance.now()
    const pending: Promise<void>[] = []
    while (!this.isDone(performance.now() - startedAt)) {
      if (this.inProgress < MAX_ORDERS) pending.push(this.callOnce())
      await pause(PAUSE_MS)
    }
    await Promise.all(pending)
  }

  private isDone(ms: number): boolean {
    if (ms >= MAX_RUN_MS) throw new Error('too few calls are acknowledged')
    return ms >= RUN_MS && this.calls.filter(isAcknowledged).length >= MIN_ACKNOWLEDGED
  }

  async read(name: string, waitMs = LONG_WAIT_MS): Promise<Call> {
    const call = this.begin('read', '')
    const { outcome, body } = await this.cluster.read(name, waitMs)
    return Object.assign(call, { outcome, document: body, endedAt: performance.now() })
  }

  private async callOnce(): Promise<void> {
    this.inProgress++
    const name = this.cluster.names[this.random(this.cluster.names.length)] ?? ''
    const waitMs = this.random(3) === 0 ? SHORT_WAIT_MS : LONG_WAIT_MS
    if (this.random(2) === 0) await this.read(name, waitMs)
    else await this.put(name, this.nextDocument(), waitMs)
    this.inProgress--
  }

  private async put(name: string, document: string, waitMs: number): Promise<void> {
    const call = this.begin('put', document)
    const { outcome } = await this.cluster.put(name, document, waitMs)
    Object.assign(call, { outcome, endedAt: performance.now() })
  }

  private begin(kind: Call['kind'], document: string): Call {
    const sentAt = performance.now()
    const call = { kind, sentAt, endedAt: Infinity, outcome: CallOutcome.Unclear, document }
    this.calls.push(call)
    return call
  }

  /** A new version, one sent before, or other content under the newest version. */
  private nextDocument(): string {
    const choice = this.random(10)
    const earlier = this.sent[this.sent.length - 1 - this.random(Math.min(this.sent.length, 6))]
    if (choice < 3 && earlier !== undefined) return earlier
    if (choice > 4 || this.version === 0) this.version += 1 + this.random(4)
    const document = configurationOf(this.version, `mark ${++this.marks}`)
    this.sent.push(document)
    return document
  }
}

/** Disturbs one instance after the other, so that two of three always run and are connected. */
async function disturb(
  cluster: OperatorCluster,
  random: (below: number) => number,
  ended: AbortSignal,
) {
  while (!ended.aborted) {
    await pause(FAULT_INTERVAL_MS - FAULT_MS)
    const any = cluster.names[random(cluster.names.length)] ?? ''
    const name = random(3) === 0 ? any : (cluster.leader() ?? any)
    const fault = faults[random(faults.length)]
    if (fault === Fault.Transfer) cluster.transferLeadership()
    if (fault === Fault.Restart) await cluster.stop(name)
    if (fault === Fault.CutOff) cluster.cutOff.add(name)
    if (fault === Fault.Suspension) cluster.suspend(name)
    await pause(FAULT_MS)
    if (fault === Fault.Restart) await cluster.start(name)
    if (fault === Fault.Suspension) cluster.resume(name)
    cluster.cutOff.clear()
  }
}

const isAcknowledged = ({ outcome }: Call): boolean => outcome === CallOutcome.Acknowledged

/** Checks the calls of a run against the rules of the configuration. */
function checkCalls(calls: readonly Call[]): void {
  const puts = calls.filter(({ kind }) => kind === 'put')
  const reads = calls.filter((call) => call.kind === 'read' && isAcknowledged(call))
  const sent = new Set(puts.map(({ document }) => document))
  const held = new Map<number, string>()
  assert.equal(puts.filter(({ outcome }) => outcome === CallOutcome.Refused).length, 0)
  for (const { document, sentAt } of reads) {
    assert.ok(sent.has(document), `read what nobody has sent: ${document}`)
    const version = versionOf(document)
    assert.equal(held.get(version) ?? document, document, `two contents of version ${version}`)
    held.set(version, document)
    for (const earlier of [...puts, ...reads]) {
      if (!isAcknowledged(earlier) || earlier.endedAt >= sentAt) continue
      const floor = versionOf(earlier.document)
      assert.ok(version >= floor, `read version ${version} after ${earlier.kind} of ${floor}`)
    }
  }
  checkFirstContent(puts, held)
}

/** What is held under a version was sent before any content of it was acknowledged. */
function checkFirstContent(puts: readonly Call[], held: ReadonlyMap<number, string>): void {
  for (const [version, document] of held) {
    const ofVersion = puts.filter((put) => versionOf(put.document) === version)
    const ends = ofVersion.filter(isAcknowledged).map(({ endedAt }) => endedAt)
    const firstEnd = Math.min(...ends)
    const [firstSent] = ofVersion.filter((put) => put.document === document)
    assert.ok(
      firstSent !== undefined && firstSent.sentAt <= firstEnd,
      `other content of the held version ${version} is read back`,
    )
  }
}

describe('operators that race while leaders change', () => {
  for (const seed of [1, 2, 3]) {
    it(`read exactly what was sent, and never an older version than acknowledged, with seed ${seed}`, async () => {
      const cluster = new OperatorCluster()
      const random = randomOf(seed)
      try {
        await cluster.startAll()
        const operators = new RacingOperators(cluster, random)
        const ended = new AbortController()
        const disturbances = disturb(cluster, random, ended.signal)
        await operators.run().finally(() => {
          ended.abort()
        })
        await disturbances
        await waitUntil(() => cluster.leader() !== undefined, 'a leader is elected')
        const last = await Promise.all(cluster.names.map((name) => operators.read(name)))
        assert.ok(last.every(isAcknowledged), 'every instance answers in the end')
        checkCalls(operators.calls)
        for (const versions of cluster.inForce) {
          assert.deepEqual(
            versions,
            [...versions].sort((a, b) => a - b),
            'never goes back',
          )
        }
      } finally {
        await cluster.stopAll()
      }
    })
  }
})
