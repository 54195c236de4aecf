import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Balancer } from './Balancer'

function makeBalancer(): Balancer {
  const instances = ['i1', 'i2', 'i3']
  const balancer = new Balancer(instances)
  for (const instance of instances) balancer.noteCheck(instance, true)
  return balancer
}

function take(balancer: Balancer, count: number): (string | undefined)[] {
  return Array.from({ length: count }, () => balancer.next())
}

describe('a balancer', () => {
  it('takes turns', () => {
    assert.deepEqual(take(makeBalancer(), 4), ['i1', 'i2', 'i3', 'i1'])
  })

  it('passes over an instance that refused, until a check finds it ready', () => {
    const balancer = makeBalancer()
    balancer.noteRefused('i2')
    assert.deepEqual(take(balancer, 3), ['i1', 'i3', 'i1'])
    balancer.noteCheck('i2', true)
    assert.deepEqual(take(balancer, 2), ['i2', 'i3'])
  })

  it('passes over an instance that says it is not ready', () => {
    const balancer = makeBalancer()
    balancer.noteCheck('i1', false)
    assert.deepEqual(take(balancer, 3), ['i2', 'i3', 'i2'])
  })

  it('has none to offer when none is ready', () => {
    const balancer = makeBalancer()
    for (const instance of ['i1', 'i2', 'i3']) balancer.noteRefused(instance)
    assert.equal(balancer.next(), undefined)
  })
})
