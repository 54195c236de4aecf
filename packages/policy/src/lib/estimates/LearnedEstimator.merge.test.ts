import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { LearnedEstimator } from './LearnedEstimator'

const subject = { caller: 'desk', service: 'quotes', declaredMs: 100 }

/** An estimator that observed runs of the same length. */
function learnt(runMs: number, runs: number, now = 0): LearnedEstimator {
  const estimator = new LearnedEstimator()
  for (let i = 0; i < runs; i++) estimator.observe(now, subject, runMs)
  return estimator
}

/** The estimate of an instance that has learnt nothing but what another one sent. */
function afterMerge(sender: LearnedEstimator, sentAt: number, ageMs: number): LearnedEstimator {
  const receiver = new LearnedEstimator()
  const samples = sender.snapshot(sentAt).map((sample) => ({ ...sample, ageMs }))
  receiver.merge(1_000_000, samples)
  return receiver
}

describe('run times that another instance has learnt', () => {
  it('replace the declared run time at once', () => {
    const estimate = afterMerge(learnt(400, 50), 0, 0).estimate(subject)
    assert.ok(estimate > 340 && estimate < 460, `${estimate} ms`)
  })

  it('count less the older they are', () => {
    const [young, old] = [1_000, 1_500_000].map((ageMs) => {
      return afterMerge(learnt(400, 50), 0, ageMs).estimate(subject)
    })
    assert.ok((young ?? 0) - (old ?? 0) > 100, `${young} ms, ${old} ms`)
  })

  it('are outweighed by as many own runs as they count at most', () => {
    const receiver = afterMerge(learnt(400, 50), 0, 0)
    for (let i = 0; i < 30; i++) receiver.observe(1_000_001, subject, 100)
    const estimate = receiver.estimate(subject)
    assert.ok(estimate < 200, `${estimate} ms`)
  })

  it('do not replace what was observed here more recently', () => {
    const receiver = learnt(100, 50, 2_000)
    const before = receiver.estimate(subject)
    const sent = learnt(400, 50).snapshot(0)
    receiver.merge(
      3_000,
      sent.map((sample) => ({ ...sample, ageMs: 1_500 })),
    )
    assert.equal(receiver.estimate(subject), before)
    receiver.merge(
      3_000,
      sent.map((sample) => ({ ...sample, ageMs: 500 })),
    )
    assert.ok(receiver.estimate(subject) > 2 * before)
  })
})
