import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { EndpointNoticeSchema, makeHoldReport, NoticeState } from '@cherryhitch/protocol'
import { DispatchActionKind } from '../DispatchAction'
import type { DispatchAction, SendOrder } from '../DispatchAction'
import { DispatchEventKind } from '../DispatchEvent'
import { DispatchMachine } from '../DispatchMachine'
import { defaultDispatchTiming } from '../DispatchOptions'

const ENDPOINTS = 100
const TICK_MS = 10
/** Minimum latency of an answer, in milliseconds; each endpoint adds an offset of its own. */
const LATENCY_MS = 3

/** A leader whose endpoints run nothing, and answer each hold at the end of its wait. */
class IdleLeader {
  readonly machine = new DispatchMachine({})
  /** Send time of each order. */
  readonly sent: number[] = []
  private readonly due: { at: number; send: SendOrder }[] = []

  constructor() {
    for (let n = 0; n < ENDPOINTS; n++) {
      const notice = create(EndpointNoticeSchema, {
        endpoint: `e${n}`,
        service: 's',
        address: `10.0.0.${n}:80`,
        state: NoticeState.SERVING,
        capacity: { cpuMillis: 1_000 },
        sequence: 1,
      })
      this.take(0, this.machine.step(0, { kind: DispatchEventKind.Notice, notice }))
    }
    const lead = {
      kind: DispatchEventKind.BecomeLeader,
      term: 1,
      table: undefined,
      drainedZones: new Set<string>(),
    } as const
    this.take(0, this.machine.step(0, lead))
  }

  run(from: number, to: number): void {
    for (let now = from; now < to; now++) {
      for (const { send } of this.due.filter(({ at }) => at === now)) {
        const value = makeHoldReport(now, [], [])
        const { order, sentAt } = send
        const event = { kind: DispatchEventKind.OrderAnswered, order, sentAt } as const
        this.take(now, this.machine.step(now, { ...event, answer: { case: 'report', value } }))
      }
      if (now % TICK_MS !== 0) continue
      this.machine.step(now, { kind: DispatchEventKind.LeadershipConfirmed, at: now })
      this.take(now, this.machine.tick(now))
    }
  }

  private take(now: number, actions: readonly DispatchAction[]): void {
    for (const action of actions) {
      if (action.kind !== DispatchActionKind.Order) continue
      this.sent.push(now)
      const { order } = action.order
      assert.ok(order.case === 'hold')
      const number = Number(action.order.endpoint.slice(1))
      this.due.push({ at: now + order.value.waitMs + LATENCY_MS + (number % 20), send: action })
    }
  }
}

describe('idle endpoints', () => {
  const leader = new IdleLeader()
  leader.run(0, 3_000)
  const from = leader.sent.length
  leader.run(3_000, 8_000)
  const sent = leader.sent.slice(from)

  it('are polled at most twice a second, well within a lease', () => {
    const perSecond = sent.length / 5 / ENDPOINTS
    assert.ok(perSecond <= 2, `${perSecond} a second`)
    const { idleHoldWaitMs, answerSlackMs, leaseMs } = defaultDispatchTiming
    assert.ok(idleHoldWaitMs + answerSlackMs < leaseMs)
  })

  it('are polled in batches, so that few messages carry all holds', () => {
    const times = new Set(sent).size / 5
    assert.ok(times <= 35, `at ${times} times a second`)
  })
})
