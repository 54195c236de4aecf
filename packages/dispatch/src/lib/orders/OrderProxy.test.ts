import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { EndpointOrderSchema } from '@cherryhitch/protocol'
import type { EndpointOrder } from '@cherryhitch/protocol'
import { EndpointGateway } from '../gateway/EndpointGateway'
import type { OrderAnswer } from '../gateway/EndpointGateway'
import { OrderProxy } from './OrderProxy'

const BOOT = 7

/** Endpoints that confirm every stop at once. */
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

/** A proxy, what it sent (receiver and numbers of the orders), and what it put off. */
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
  return { gateway, sent, boots, proxy, runDeferred, waits, clock }
}

describe('an instance that carries orders', () => {
  it('carries out each, and sends the answers that came together in one message', () => {
    const { gateway, sent, proxy, runDeferred } = open()
    proxy.onOrders('leader', BOOT, [stop(1, 'e1'), stop(2, 'e2')])
    proxy.onOrders('leader', BOOT, [stop(3, 'e1')])
    assert.deepEqual(gateway.called, ['e1', 'e2', 'e1'])
    assert.deepEqual(sent, [])
    runDeferred()
    assert.deepEqual(sent, [{ to: 'leader', ids: [1, 2, 3] }])
  })

  it('answers whoever ordered, also when an old leader and a new one do so at the same time', () => {
    const { sent, proxy, runDeferred } = open()
    proxy.onOrders('old', BOOT, [stop(1, 'e1')])
    proxy.onOrders('new', BOOT, [stop(1, 'e1')])
    runDeferred()
    assert.deepEqual(sent, [
      { to: 'old', ids: [1] },
      { to: 'new', ids: [1] },
    ])
  })

  it('tells the orders of a leader that started again from those of its earlier process', () => {
    const { sent, boots, proxy, runDeferred } = open()
    proxy.onOrders('leader', BOOT, [stop(1, 'e1')])
    proxy.onOrders('leader', BOOT + 1, [stop(1, 'e2')])
    runDeferred()
    assert.deepEqual(boots, [BOOT, BOOT + 1])
    assert.equal(sent.length, 2)
  })

  it('begins a new message after one has gone', () => {
    const { sent, proxy, runDeferred } = open()
    proxy.onOrders('leader', BOOT, [stop(1, 'e1')])
    runDeferred()
    proxy.onOrders('leader', BOOT, [stop(2, 'e1')])
    runDeferred()
    assert.deepEqual(sent, [
      { to: 'leader', ids: [1] },
      { to: 'leader', ids: [2] },
    ])
  })

  it('sends the first answer after a pause at once, and gathers what follows closely', () => {
    const { sent, proxy, runDeferred, waits, clock } = open()
    proxy.onOrders('leader', BOOT, [stop(1, 'e1')])
    runDeferred()
    clock.now = 2
    proxy.onOrders('leader', BOOT, [stop(2, 'e1')])
    clock.now = 3
    proxy.onOrders('leader', BOOT, [stop(3, 'e1')])
    runDeferred()
    clock.now = 100
    proxy.onOrders('leader', BOOT, [stop(4, 'e1')])
    assert.deepEqual(waits, [0, 4, 0])
    assert.deepEqual(
      sent.map(({ ids }) => ids),
      [[1], [2, 3]],
    )
  })
})
