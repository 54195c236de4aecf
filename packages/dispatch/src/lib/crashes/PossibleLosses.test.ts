import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { PossibleLossSchema } from '@cherryhitch/protocol'
import type { PossibleLoss } from '@cherryhitch/protocol'
import { PossibleLosses } from './PossibleLosses'

const KEEP_MS = 60_000
const TASK = 'j.0.0.0'

interface Told {
  readonly tasks?: string[]
  readonly jobs?: { jobId: string; times: number }[]
  readonly shared?: boolean
  readonly cleared?: boolean
}

function told(term: number, more: Told): PossibleLoss {
  const endpoints = ['e1', 'e2']
  return create(PossibleLossSchema, { term, endpoints, ...more })
}

describe('what may have run at endpoints that were gone', () => {
  it('counts once for each leader that found them gone', () => {
    const losses = new PossibleLosses(KEEP_MS)
    assert.deepEqual([...losses.take(0, told(2, { tasks: [TASK] }))], ['j'])
    assert.deepEqual(
      [...losses.take(1, told(2, { tasks: [TASK], jobs: [{ jobId: 'k', times: 1 }] }))],
      ['k'],
    )
    losses.take(2, told(3, { jobs: [{ jobId: 'j', times: 1 }] }))
    assert.equal(losses.under(TASK).length, 2)
    assert.equal(losses.under('k.0.1.0').length, 1)
    assert.equal(losses.under('l.0.0.0').length, 0)
  })

  it('counts as often as its job ended without an answer, where leaders took their terms with them', () => {
    const losses = new PossibleLosses(KEEP_MS)
    losses.take(0, told(4, { jobs: [{ jobId: 'j', times: 2 }] }))
    assert.equal(losses.under(TASK).length, 2)
    losses.take(1, told(5, { jobs: [{ jobId: 'j', times: 2 }] }))
    assert.equal(losses.under(TASK).length, 2)
  })

  it('speaks against nothing once the endpoints have answered', () => {
    const losses = new PossibleLosses(KEEP_MS)
    losses.take(0, told(2, { tasks: [TASK], jobs: [{ jobId: 'k', times: 1 }] }))
    assert.deepEqual([...losses.take(1, told(2, { cleared: true }))], ['j', 'k'])
    assert.equal(losses.under(TASK).length, 0)
    assert.equal(losses.hasEndpoint('e1'), false)
  })

  it('is the same at an instance that was told of it', () => {
    const [losses, other] = [new PossibleLosses(KEEP_MS), new PossibleLosses(KEEP_MS)]
    losses.take(0, told(2, { tasks: [TASK], jobs: [{ jobId: 'k', times: 1 }], shared: true }))
    for (const one of losses.all(5)) other.take(5, one)
    assert.deepEqual(other.under(TASK), losses.under(TASK))
    assert.equal(other.hasEndpoint('e2'), true)
  })

  it('is forgotten after a while', () => {
    const losses = new PossibleLosses(KEEP_MS)
    losses.take(0, told(2, { tasks: [TASK] }))
    losses.take(KEEP_MS, told(3, { tasks: ['k.0.0.0'] }))
    assert.equal(losses.under(TASK).length, 0)
  })
})
