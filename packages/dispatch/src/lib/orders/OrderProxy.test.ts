import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { EndpointOrderSchema, EndpointOrdersSchema } from '@cherryhitch/protocol'
import type { EndpointOrder } from '@cherryhitch/protocol'
import { EndpointGateway } from '../gateway/EndpointGateway'
import type { OrderAnswer } from '../gateway/EndpointGateway'
import { OrderProxy } from './OrderProxy'

const BOOT = 7

/** A gateway to endpoints that confirm every stop immediately. */
class ConfirmingGateway extends EndpointGateway {
  readonly called: string[] = []

  override call({ endpoint }: EndpointOrder, done: (answer: OrderAnswer) => void): void {
    this.called.push(endpoint)
    done({ case: 'stopped', value: true })
  }
}

const stop = (id: number, endpoint: string): EndpointOrder => {
  const value = { task: 't', run: 1 }
  return create(EndpointOrderSchema, { id, endpoint, order: { case: 'stop', value } })
}

/** Creates a proxy and records its messages (receiver and order numbers) and deferred calls. */
function open() {
  const gateway = new ConfirmingGateway()
  const sent: { to: string; ids: number[] }[] = []
  const boots: number[] = []
  const deferred: (() => void)[] = []
  const waits: number[] = []
  const clock = { now: 0 }
  const proxy = new OrderProxy({
    gateway,
    send: (to, { body }) => {
      assert.ok(body.case === 'endpointAnswers')
      sent.push({ to, ids: body.value.answers.map(({ id }) => id) })
      boots.push(body.value.forBoot)
    },
    now: () => clock.now,
    after: (ms, run) => {
      waits.push(ms)
      deferred.push(run)
    },
  })
  const runDeferred = (): void => {
    for (const run of deferred.splice(0)) run()
  }
  const give = (from: string, boot: number, orders: EndpointOrder[], sentMs = clock.now): void => {
    proxy.onOrders(from, boot, create(EndpointOrdersSchema, { orders, sentMs }))
  }
  return { gateway, sent, boots, give, runDeferred, waits, clock }
}

describe('an order proxy', () => {
  it('carries out each order, and batches the answers into one message', () => {
    const { gateway, sent, give, runDeferred } = open()
    give('leader', BOOT, [stop(1, 'e1'), stop(2, 'e2')])
    give('leader', BOOT, [stop(3, 'e1')])
    assert.deepEqual(gateway.called, ['e1', 'e2', 'e1'])
    assert.deepEqual(sent, [])
    runDeferred()
    assert.deepEqual(sent, [{ to: 'leader', ids: [1, 2, 3] }])
  })

  it('answers the sender of each order, even with an old and a new leader at the same time', () => {
    const { sent, give, runDeferred } = open()
    give('old', BOOT, [stop(1, 'e1')])
    give('new', BOOT, [stop(1, 'e1')])
    runDeferred()
    assert.deepEqual(sent, [
      { to: 'old', ids: [1] },
      { to: 'new', ids: [1] },
    ])
  })

  it('distinguishes the orders of a restarted leader from those of its earlier process', () => {
    const { sent, boots, give, runDeferred } = open()
    give('leader', BOOT, [stop(1, 'e1')])
    give('leader', BOOT + 1, [stop(1, 'e2')])
    runDeferred()
    assert.deepEqual(boots, [BOOT, BOOT + 1])
    assert.equal(sent.length, 2)
  })

  it('starts a new batch after one was sent', () => {
    const { sent, give, runDeferred } = open()
    give('leader', BOOT, [stop(1, 'e1')])
    runDeferred()
    give('leader', BOOT, [stop(2, 'e1')])
    runDeferred()
    assert.deepEqual(sent, [
      { to: 'leader', ids: [1] },
      { to: 'leader', ids: [2] },
    ])
  })

  it('sends the first answer after a pause immediately, and batches the next ones', () => {
    const { sent, give, runDeferred, waits, clock } = open()
    give('leader', BOOT, [stop(1, 'e1')])
    runDeferred()
    clock.now = 2
    give('leader', BOOT, [stop(2, 'e1')])
    clock.now = 3
    give('leader', BOOT, [stop(3, 'e1')])
    runDeferred()
    clock.now = 100
    give('leader', BOOT, [stop(4, 'e1')])
    assert.deepEqual(waits, [0, 4, 0])
    assert.deepEqual(
      sent.map(({ ids }) => ids),
      [[1], [2, 3]],
    )
  })

  it('does not carry out orders that arrive late', () => {
    const { gateway, sent, give, runDeferred, clock } = open()
    clock.now = 5_000
    give('leader', BOOT, [stop(1, 'e1')])
    clock.now = 7_000
    give('leader', BOOT, [stop(2, 'e1')], 5_010)
    give('leader', BOOT, [stop(3, 'e1')], 6_990)
    assert.deepEqual(gateway.called, ['e1', 'e1'])
    runDeferred()
    assert.deepEqual(sent, [{ to: 'leader', ids: [1, 2, 3] }])
  })

  it('measures the delay of orders separately for each process of the leader', () => {
    const { gateway, give, clock } = open()
    clock.now = 5_000
    give('leader', BOOT, [stop(1, 'e1')], 4_900)
    give('leader', BOOT + 1, [stop(1, 'e1')], 3)
    assert.equal(gateway.called.length, 2)
  })
})
