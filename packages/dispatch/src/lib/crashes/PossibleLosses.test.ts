import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { PossibleLossSchema } from '@cherryhitch/protocol'
import type { PossibleLoss } from '@cherryhitch/protocol'
import { PossibleLosses } from './PossibleLosses'

const RETENTION_MS = 60_000
const TASK = 'j.0.0.0'

interface UpdateFields {
  readonly tasks?: string[]
  readonly jobs?: { jobId: string; times: number }[]
  readonly shared?: boolean
  readonly cleared?: boolean
}

function update(term: number, more: UpdateFields): PossibleLoss {
  const endpoints = ['e1', 'e2']
  return create(PossibleLossSchema, { term, endpoints, ...more })
}

describe('possible losses of tasks', () => {
  it('count once for each leader that found endpoints missing', () => {
    const losses = new PossibleLosses(RETENTION_MS)
    assert.deepEqual([...losses.apply(0, update(2, { tasks: [TASK] }))], ['j'])
    assert.deepEqual(
      [...losses.apply(1, update(2, { tasks: [TASK], jobs: [{ jobId: 'k', times: 1 }] }))],
      ['k'],
    )
    losses.apply(2, update(3, { jobs: [{ jobId: 'j', times: 1 }] }))
    assert.equal(losses.forTask(TASK).length, 2)
    assert.equal(losses.forTask('k.0.1.0').length, 1)
    assert.equal(losses.forTask('l.0.0.0').length, 0)
  })

  it('count as often as the job ended without an answer, when earlier terms are not known', () => {
    const losses = new PossibleLosses(RETENTION_MS)
    losses.apply(0, update(4, { jobs: [{ jobId: 'j', times: 2 }] }))
    assert.equal(losses.forTask(TASK).length, 2)
    losses.apply(1, update(5, { jobs: [{ jobId: 'j', times: 2 }] }))
    assert.equal(losses.forTask(TASK).length, 2)
  })

  it('are cleared once the endpoints have answered', () => {
    const losses = new PossibleLosses(RETENTION_MS)
    losses.apply(0, update(2, { tasks: [TASK], jobs: [{ jobId: 'k', times: 1 }] }))
    assert.deepEqual([...losses.apply(1, update(2, { cleared: true }))], ['j', 'k'])
    assert.equal(losses.forTask(TASK).length, 0)
    assert.equal(losses.hasEndpoint('e1'), false)
  })

  it('are the same at an instance that received them', () => {
    const [losses, other] = [new PossibleLosses(RETENTION_MS), new PossibleLosses(RETENTION_MS)]
    losses.apply(0, update(2, { tasks: [TASK], jobs: [{ jobId: 'k', times: 1 }], shared: true }))
    for (const loss of losses.all(5)) other.apply(5, loss)
    assert.deepEqual(other.forTask(TASK), losses.forTask(TASK))
    assert.equal(other.hasEndpoint('e2'), true)
  })

  it('are removed after the retention period', () => {
    const losses = new PossibleLosses(RETENTION_MS)
    losses.apply(0, update(2, { tasks: [TASK] }))
    losses.apply(RETENTION_MS, update(3, { tasks: ['k.0.0.0'] }))
    assert.equal(losses.forTask(TASK).length, 0)
  })
})
