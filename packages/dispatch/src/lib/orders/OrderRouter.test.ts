import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { EndpointAnswerSchema, EndpointOrderSchema, StartResult } from '@cherryhitch/protocol'
import { DispatchActionKind } from '../DispatchAction'
import type { SendOrder } from '../DispatchAction'
import { OrderRouter, RouterActionKind, RouterEventKind } from './OrderRouter'
import type { RouterAction } from './OrderRouter'

const BOOT = 7
const TICK_MS = 10
const TIMEOUT_MS = 80
const PROXY_ALLOWANCE_MS = 60
const SUSPENSION_MS = 1_000

/** The router of a leader, with a clock and helpers to give orders and answers. */
class Leader {
  now = 0
  private readonly router = new OrderRouter({
    boot: BOOT,
    directEndpoints: 4,
    proxyAllowanceMs: PROXY_ALLOWANCE_MS,
  })
  private orders = 0

  proxies(endpoints: number, ...names: readonly string[]): void {
    const proxies = names.map((instance) => ({ instance, zone: `zone of ${instance}` }))
    this.router.step(this.now, { kind: RouterEventKind.Proxies, proxies, endpoints })
  }

  /** Gives a start order; returns its number. */
  start(endpoint: string, zone = ''): number {
    const id = ++this.orders
    const value = { task: `t${id}`, run: 1, payload: '', orderEndsAt: 900 }
    const order = create(EndpointOrderSchema, {
      id,
      endpoint,
      timeoutMs: TIMEOUT_MS,
      order: { case: 'start', value },
    })
    const send: SendOrder = { kind: DispatchActionKind.Order, order, zone, sentAt: this.now }
    this.router.step(this.now, { kind: RouterEventKind.Order, send })
    return id
  }

  answer(from: string, id: number, forBoot = BOOT): readonly RouterAction[] {
    const answer = { case: 'started', value: StartResult.RUNS } as const
    const answers = [create(EndpointAnswerSchema, { id, answer })]
    return this.router.step(this.now, { kind: RouterEventKind.Answers, from, forBoot, answers })
  }

  /** Advances the clock with regular ticks. */
  tick(passedMs = 0): readonly RouterAction[] {
    const actions: RouterAction[] = []
    const end = this.now + passedMs
    for (; this.now < end; this.now += TICK_MS) actions.push(...this.router.tick(this.now))
    return [...actions, ...this.router.tick(this.now)]
  }

  /** Advances the clock without ticks, as if the leader were stalled. */
  stall(ms: number): readonly RouterAction[] {
    this.now += ms
    return this.router.tick(this.now)
  }
}

/** The instance that calls each endpoint; `self` stands for the leader. */
function callersOf(actions: readonly RouterAction[]): Record<string, string> {
  const callers: Record<string, string> = {}
  for (const action of actions) {
    if (action.kind === RouterActionKind.Call) callers[action.send.order.endpoint] = 'self'
    if (action.kind !== RouterActionKind.Forward) continue
    for (const { endpoint } of action.orders) callers[endpoint] = action.to
  }
  return callers
}

/** Start results that are delivered to the dispatcher. */
function startResults(actions: readonly RouterAction[]): readonly StartResult[] {
  return actions.flatMap((action) => {
    if (action.kind !== RouterActionKind.DeliverAnswer) return []
    const { answer } = action.event
    return answer.case === 'started' ? [answer.value] : []
  })
}

describe('the routes of orders to endpoints', () => {
  it('are direct calls of the leader while there are few endpoints', () => {
    const leader = new Leader()
    leader.proxies(4, 'a', 'b')
    leader.start('e1')
    assert.deepEqual(callersOf(leader.tick()), { e1: 'self' })
  })

  it('are direct calls of the leader while there is no other instance', () => {
    const leader = new Leader()
    leader.proxies(100)
    leader.start('e1')
    assert.deepEqual(callersOf(leader.tick()), { e1: 'self' })
  })

  it('are spread evenly over the proxies, and stay the same', () => {
    const leader = new Leader()
    leader.proxies(100, 'a', 'b')
    for (let i = 0; i < 10; i++) leader.start(`e${i}`)
    const callers = callersOf(leader.tick())
    const ofA = Object.values(callers).filter((caller) => caller === 'a')
    assert.equal(ofA.length, 5)
    for (let i = 0; i < 10; i++) leader.start(`e${i}`)
    assert.deepEqual(callersOf(leader.tick()), callers)
  })

  it('use a proxy in the zone of the endpoint if there is one', () => {
    const leader = new Leader()
    leader.proxies(100, 'a', 'b')
    leader.start('e1', 'zone of b')
    leader.start('e2', 'zone of a')
    assert.deepEqual(callersOf(leader.tick()), { e1: 'b', e2: 'a' })
  })

  it('batch the orders of one step for one proxy into one message', () => {
    const leader = new Leader()
    leader.proxies(100, 'a')
    leader.start('e1')
    leader.start('e2')
    assert.equal(leader.tick().length, 1)
  })
})

describe('a proxy', () => {
  it('has its answers to an earlier process of the leader ignored', () => {
    const leader = new Leader()
    leader.proxies(100, 'a')
    const id = leader.start('e1')
    leader.tick()
    assert.deepEqual(startResults(leader.answer('a', id, BOOT - 1)), [])
    assert.deepEqual(startResults(leader.answer('a', id)), [StartResult.RUNS])
  })

  it('delivers the result of an order once', () => {
    const leader = new Leader()
    leader.proxies(100, 'a')
    const id = leader.start('e1')
    leader.tick()
    assert.deepEqual(startResults(leader.answer('a', id)), [StartResult.RUNS])
    assert.deepEqual(startResults(leader.answer('a', id)), [])
  })

  it('that stops answering loses its endpoints to others, and its orders end as unknown', () => {
    const leader = new Leader()
    leader.proxies(100, 'a', 'b')
    leader.start('e1', 'zone of a')
    leader.tick()
    leader.tick(50)
    leader.start('e1', 'zone of a')
    leader.tick()
    const told = startResults(leader.tick(TIMEOUT_MS + PROXY_ALLOWANCE_MS - 50))
    assert.deepEqual(told, [StartResult.UNKNOWN, StartResult.UNKNOWN])
    leader.start('e1', 'zone of a')
    assert.deepEqual(callersOf(leader.tick()), { e1: 'b' })
  })

  it('that loses one order but answers others keeps its endpoints', () => {
    const leader = new Leader()
    leader.proxies(100, 'a', 'b')
    leader.start('e1', 'zone of a')
    leader.tick()
    leader.tick(10)
    const later = leader.start('e1', 'zone of a')
    leader.tick()
    leader.tick(10)
    leader.answer('a', later)
    assert.deepEqual(startResults(leader.tick(TIMEOUT_MS + PROXY_ALLOWANCE_MS)), [
      StartResult.UNKNOWN,
    ])
    leader.start('e1', 'zone of a')
    assert.deepEqual(callersOf(leader.tick()), { e1: 'a' })
  })

  it('is not suspended because of a stall of the leader', () => {
    const leader = new Leader()
    leader.proxies(100, 'a', 'b')
    const id = leader.start('e1', 'zone of a')
    leader.tick()
    assert.deepEqual(startResults(leader.stall(TIMEOUT_MS + PROXY_ALLOWANCE_MS + 100)), [])
    assert.deepEqual(startResults(leader.answer('a', id)), [StartResult.RUNS])
  })

  it('is used again after the suspension, and its late answers are ignored', () => {
    const leader = new Leader()
    leader.proxies(100, 'a', 'b')
    const id = leader.start('e1', 'zone of a')
    leader.tick()
    leader.tick(TIMEOUT_MS + PROXY_ALLOWANCE_MS)
    assert.deepEqual(startResults(leader.answer('a', id)), [])
    leader.now += SUSPENSION_MS
    leader.proxies(100, 'a', 'b')
    leader.start('e1', 'zone of a')
    assert.deepEqual(callersOf(leader.tick()), { e1: 'a' })
  })

  it('that is gone loses its endpoints immediately', () => {
    const leader = new Leader()
    leader.proxies(100, 'a', 'b')
    leader.start('e1', 'zone of a')
    leader.tick()
    leader.proxies(100, 'b')
    leader.start('e1', 'zone of a')
    assert.deepEqual(callersOf(leader.tick()), { e1: 'b' })
  })
})
