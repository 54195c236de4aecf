import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import {
  AskJobSchema,
  JobQuestionKind,
  JobStepSchema,
  JobVerdict,
  makeSteppedJob,
  makeSubmitJob,
  RoutingTableSchema,
} from '@cherryhitch/protocol'
import type { JobOutcome, RoutingTable } from '@cherryhitch/protocol'
import { DispatchActionKind } from '../DispatchAction'
import { DispatchEventKind } from '../DispatchEvent'
import type { DispatchEvent } from '../DispatchEvent'
import { DispatchMachine } from '../DispatchMachine'
import { ANSWER_MARGIN_MS, CONFIRMATION_TIMEOUT_MS } from './RequestHandler'

const ENTRY = 'e'
const TICK_MS = 10

function tableOf(version: number, prefixes: readonly string[]): RoutingTable {
  const routes = prefixes.map((pathPrefix) => ({ name: 'r', host: 'h', pathPrefix, service: 's' }))
  return create(RoutingTableSchema, { version, routes, services: ['s'] })
}

/** A leader since 0 that knows no endpoint, and the answers that it gave. */
class Leader {
  readonly machine = new DispatchMachine({})
  readonly outcomes: JobOutcome[] = []
  #now = 0

  constructor(term = 1) {
    const kind = DispatchEventKind.BecomeLeader
    this.tell({ kind, term, table: tableOf(1, []), drainedZones: new Set() })
    // All orders of earlier leaders have expired, so an unknown job is a new one.
    this.tell({ kind: DispatchEventKind.EarlierLeadersConfirmed, term, confirmedUntil: -5_000 })
  }

  get verdicts(): JobVerdict[] {
    return this.outcomes.map(({ verdict }) => verdict)
  }

  tell(event: DispatchEvent): void {
    this.#take(this.machine.step(this.#now, event))
  }

  submit(remainingMs: number, earlierAttempts = 0): void {
    const step = create(JobStepSchema, { count: 1, estimateMs: 50, needs: { cpuMillis: 1 } })
    const spec = makeSteppedJob('j', 'p', [step])
    const place = { requestId: '1', host: 'h', path: '/q/j' }
    const req = makeSubmitJob({ ...place, spec, remainingMs, waitedMs: 0, earlierAttempts })
    this.tell({ kind: DispatchEventKind.SubmitJob, from: ENTRY, req })
  }

  ask(remainingMs: number): void {
    const question = { requestId: '1', kind: JobQuestionKind.PENDING, host: 'h', path: '/q/' }
    const req = create(AskJobSchema, { ...question, remainingMs })
    this.tell({ kind: DispatchEventKind.QueryJob, from: ENTRY, req })
  }

  confirm(): void {
    this.tell({ kind: DispatchEventKind.LeadershipConfirmed, at: this.#now })
  }

  run(ms: number): void {
    for (const end = this.#now + ms; this.#now < end;) {
      this.#now += TICK_MS
      this.#take(this.machine.tick(this.#now))
    }
  }

  #take(actions: ReturnType<DispatchMachine['step']>): void {
    for (const action of actions)
      if (action.kind === DispatchActionKind.Answer) this.outcomes.push(action.outcome)
  }
}

describe('a request without a route, at a leader that no majority confirms', () => {
  it('is refused with a retry delay rather than held until its deadline', () => {
    const leader = new Leader()
    leader.submit(5_000)
    leader.run(CONFIRMATION_TIMEOUT_MS)
    assert.deepEqual(leader.verdicts, [JobVerdict.REFUSED])
    assert.ok((leader.outcomes[0]?.retryAfterMs ?? 0) > 0)
  })

  it('is refused while the entry can still pass the refusal on before the deadline', () => {
    const leader = new Leader()
    leader.submit(ANSWER_MARGIN_MS + 100)
    leader.run(100)
    assert.deepEqual(leader.verdicts, [JobVerdict.REFUSED])
  })

  it('is refused at once if no confirmation can come before its deadline', () => {
    const leader = new Leader()
    leader.submit(ANSWER_MARGIN_MS)
    leader.ask(ANSWER_MARGIN_MS)
    assert.deepEqual(leader.verdicts, [JobVerdict.REFUSED, JobVerdict.REFUSED])
  })

  it('is not said to have been refused unrun if an earlier leader may have run it', () => {
    const leader = new Leader()
    leader.submit(5_000, 1)
    leader.run(CONFIRMATION_TIMEOUT_MS)
    assert.deepEqual(leader.verdicts, [JobVerdict.UNKNOWN])
  })

  it('is a refused question if it asks for a count, also from an entry that names no deadline', () => {
    const leader = new Leader()
    leader.ask(0)
    leader.run(CONFIRMATION_TIMEOUT_MS - TICK_MS)
    assert.deepEqual(leader.verdicts, [])
    leader.run(TICK_MS)
    assert.deepEqual(leader.verdicts, [JobVerdict.REFUSED])
  })

  it('is answered as without a route once a majority has confirmed the leader', () => {
    const leader = new Leader()
    leader.submit(1_000)
    leader.confirm()
    leader.run(1_000)
    assert.deepEqual(leader.verdicts, [JobVerdict.NO_ROUTE])
  })

  it('is not answered by a confirmation of an earlier term, or from before it came', () => {
    const leader = new Leader()
    leader.confirm()
    leader.run(100)
    const next = { term: 2, table: tableOf(1, []), drainedZones: new Set<string>() }
    leader.confirm()
    leader.tell({ kind: DispatchEventKind.BecomeLeader, ...next })
    leader.run(TICK_MS)
    leader.submit(1_000)
    leader.tell({ kind: DispatchEventKind.LeadershipConfirmed, at: 100 })
    assert.deepEqual(leader.verdicts, [])
  })

  it('is served by a table that came before the confirmation', () => {
    const leader = new Leader()
    leader.submit(1_000)
    leader.tell({ kind: DispatchEventKind.Routing, table: tableOf(2, ['/q/']) })
    leader.confirm()
    assert.deepEqual(leader.verdicts, [])
    assert.equal(leader.machine.counters.jobs_taken, 1)
  })

  it('runs no job whose caller left while it waited, though a route for it is added', () => {
    const leader = new Leader()
    leader.submit(5_000)
    const req = { $typeName: 'cherryhitch.v1.AbandonJob', requestId: '1' } as const
    leader.tell({ kind: DispatchEventKind.AbandonJob, from: ENTRY, req })
    leader.tell({ kind: DispatchEventKind.Routing, table: tableOf(2, ['/q/']) })
    leader.confirm()
    assert.equal(leader.machine.counters.jobs_taken, 0)
    assert.deepEqual(leader.verdicts, [])
  })
})
