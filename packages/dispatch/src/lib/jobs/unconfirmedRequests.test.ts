import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import {
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

const ENTRY = 'e'

function tableOf(version: number, prefixes: readonly string[]): RoutingTable {
  const routes = prefixes.map((pathPrefix) => ({ name: 'r', host: 'h', pathPrefix, service: 's' }))
  return create(RoutingTableSchema, { version, routes, services: ['s'] })
}

/** A leader since 0 that knows no endpoint, and the answers that it gave. */
class Leader {
  readonly machine = new DispatchMachine({})
  readonly outcomes: JobOutcome[] = []

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
    this.#take(this.machine.step(0, event))
  }

  submit(remainingMs: number): void {
    const step = create(JobStepSchema, { count: 1, estimateMs: 50, needs: { cpuMillis: 1 } })
    const spec = makeSteppedJob('j', 'p', [step])
    const place = { requestId: '1', host: 'h', path: '/q/j' }
    const req = makeSubmitJob({ ...place, spec, remainingMs, waitedMs: 0, earlierAttempts: 0 })
    this.tell({ kind: DispatchEventKind.SubmitJob, from: ENTRY, req })
  }

  confirm(): void {
    this.tell({ kind: DispatchEventKind.LeadershipConfirmed, at: 0 })
  }

  #take(actions: ReturnType<DispatchMachine['step']>): void {
    for (const action of actions)
      if (action.kind === DispatchActionKind.Answer) this.outcomes.push(action.outcome)
  }
}

describe('a request without a route, at a leader that no majority confirms', () => {
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
