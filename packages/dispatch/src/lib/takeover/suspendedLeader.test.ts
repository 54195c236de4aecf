import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import {
  EndpointNoticeSchema,
  JobStepSchema,
  makeHoldReport,
  makeListedRun,
  makeSteppedJob,
  makeSubmitJob,
  NoticeState,
  RoutingTableSchema,
  StartResult,
} from '@cherryhitch/protocol'
import { DispatchActionKind } from '../DispatchAction'
import type { DispatchAction, SendOrder } from '../DispatchAction'
import { DispatchEventKind } from '../DispatchEvent'
import type { DispatchEvent } from '../DispatchEvent'
import { DispatchMachine } from '../DispatchMachine'
import { defaultDispatchTiming } from '../DispatchOptions'
import { answerEvent } from '../orders/answerEvent'

const TICK_MS = 10
const CONFIRM_INTERVAL_MS = 60
const table = create(RoutingTableSchema, {
  version: 1,
  routes: [{ name: 'r', host: 'h', pathPrefix: '/q/', service: 's', targetMs: 60, stretch: 2 }],
  services: ['s'],
})

/** A leader with one endpoint, whose clock goes on while the leader's machine is suspended. */
class World {
  readonly starts: number[] = []
  /** Lease ends that the leader asked for, on the endpoint's clock. */
  latestEnd = -Infinity
  confirmedAt = -Infinity
  now = 0
  #suspendedMs = 0
  readonly #machine = new DispatchMachine({})
  readonly #runs = new Map<string, number>()
  /** Answers of the endpoint that are under way. */
  readonly #answers: DispatchEvent[] = []

  constructor() {
    const begin = { term: 1, table, drainedZones: new Set<string>() }
    this.tell({ kind: DispatchEventKind.BecomeLeader, ...begin })
    const earlier = { term: 1, confirmedUntil: -5_000 }
    this.tell({ kind: DispatchEventKind.EarlierLeadersConfirmed, ...earlier })
    const notice = create(EndpointNoticeSchema, {
      endpoint: 'e0',
      service: 's',
      address: 'e0:1',
      zone: 'z',
      state: NoticeState.SERVING,
      capacity: { cpuMillis: 4_000, memoryMb: 4_000 },
      sequence: 1,
    })
    this.tell({ kind: DispatchEventKind.Notice, notice })
  }

  get #local(): number {
    return this.now - this.#suspendedMs
  }

  tell(event: DispatchEvent): void {
    this.#perform(this.#machine.step(this.#local, event))
  }

  run(ms: number, isConfirmed: boolean): void {
    for (const end = this.now + ms; this.now < end;) {
      this.now += TICK_MS
      for (const event of this.#answers.splice(0)) this.tell(event)
      if (isConfirmed && this.now % CONFIRM_INTERVAL_MS === 0) {
        this.confirmedAt = this.now
        this.tell({ kind: DispatchEventKind.LeadershipConfirmed, at: this.#local })
      }
      this.#perform(this.#machine.tick(this.#local))
    }
  }

  suspend(ms: number): void {
    this.now += ms
    this.#suspendedMs += ms
  }

  submit(id: string): void {
    const needs = { cpuMillis: 100, memoryMb: 1 }
    const step = create(JobStepSchema, { count: 1, estimateMs: 50, needs })
    const spec = makeSteppedJob(id, 'p', [step])
    const waits = { remainingMs: 9_000, waitedMs: 0, earlierAttempts: 0 }
    const req = makeSubmitJob({ requestId: id, host: 'h', path: `/q/${id}`, spec, ...waits })
    this.tell({ kind: DispatchEventKind.SubmitJob, from: 'e', req })
  }

  #perform(actions: readonly DispatchAction[]): void {
    for (const action of actions) if (action.kind === DispatchActionKind.Order) this.#answer(action)
  }

  /** The endpoint answers each order at once, and carries out those that it gets in time. */
  #answer(send: SendOrder): void {
    const { order } = send.order
    if (order.case === 'hold') {
      this.latestEnd = Math.max(this.latestEnd, order.value.leaseEndsAt ?? -Infinity)
      const running = [...this.#runs].map(([task, run]) => makeListedRun(task, run))
      const value = makeHoldReport(this.now, running, [])
      this.#answers.push(answerEvent(send, { case: 'report', value }))
    } else if (order.case === 'start') {
      const isLate = order.value.orderEndsAt <= this.now
      if (!isLate) {
        this.starts.push(this.now)
        this.#runs.set(order.value.task, order.value.run)
      }
      const value = isLate ? StartResult.TOO_LATE : StartResult.RUNS
      this.#answers.push(answerEvent(send, { case: 'started', value }))
    }
  }
}

const { leaderLeaseMs } = defaultDispatchTiming

describe('a leader that was suspended, so that its clock stood still', () => {
  it('starts a job while it is confirmed', () => {
    const world = new World()
    world.run(600, true)
    world.submit('a')
    world.run(100, true)
    assert.equal(world.starts.length, 1)
  })

  it('starts nothing and extends no lease past its own, though the endpoint tells it the time', () => {
    for (const suspendedMs of [300, 1_000, 2_000, 10_000]) {
      const world = new World()
      world.run(600, true)
      world.suspend(suspendedMs)
      world.run(100, false)
      world.submit('a')
      world.run(500, false)
      const ownLeaseEnd = world.confirmedAt + leaderLeaseMs
      assert.ok(world.latestEnd <= ownLeaseEnd, `lease until ${world.latestEnd}, ${suspendedMs} ms`)
      for (const at of world.starts) assert.ok(at < ownLeaseEnd, `start at ${at}`)
    }
  })

  it('starts the waiting job once a majority has confirmed it again', () => {
    const world = new World()
    world.run(600, true)
    world.suspend(10_000)
    world.run(100, false)
    world.submit('a')
    world.run(200, false)
    world.run(200, true)
    assert.equal(world.starts.length, 1)
    assert.ok((world.starts[0] ?? 0) >= 10_900, `start at ${world.starts[0]}`)
  })
})
