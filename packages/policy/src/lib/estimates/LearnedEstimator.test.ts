import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { LearnedEstimator } from '../../index'

const subject = (declaredMs: number, caller = 'desk') => ({ caller, service: 's', declaredMs })

/** How far an estimate is from the truth, as a factor of at least 1. */
function factor(estimateMs: number, trueMs: number): number {
  return Math.max(estimateMs / trueMs, trueMs / estimateMs)
}

describe('learned run times', () => {
  it('uses the declared run time of an unknown caller', () => {
    assert.ok(factor(new LearnedEstimator().estimate(subject(420)), 420) < 1.01)
  })

  for (const declaredMs of [20, 200, 2000, 0]) {
    it(`learns 200 ms within 40 tasks that declare ${declaredMs}`, () => {
      const estimator = new LearnedEstimator()
      for (let n = 0; n < 40; n++) estimator.observe(n, subject(declaredMs), 180 + (n % 5) * 10)
      assert.ok(factor(estimator.estimate(subject(declaredMs)), 200) < 1.3)
    })
  }

  it('scales declared times that are ten times too long but in proportion', () => {
    const estimator = new LearnedEstimator()
    for (let n = 0; n < 60; n++) {
      const runMs = [50, 200, 900][n % 3] ?? 0
      estimator.observe(n, subject(runMs * 10), runMs)
    }
    assert.ok(factor(estimator.estimate(subject(500)), 50) < 1.3)
    assert.ok(factor(estimator.estimate(subject(9000)), 900) < 1.3)
  })

  it('changes little after one task that took a hundred times as long', () => {
    const estimator = new LearnedEstimator()
    for (let n = 0; n < 50; n++) estimator.observe(n, subject(0), 200)
    estimator.observe(51, subject(0), 20_000)
    assert.ok(factor(estimator.estimate(subject(0)), 200) < 1.2)
  })

  it('adapts to a lasting change', () => {
    const estimator = new LearnedEstimator()
    for (let n = 0; n < 100; n++) estimator.observe(n, subject(0), 200)
    for (let n = 0; n < 200; n++) estimator.observe(n, subject(0), 800)
    assert.ok(factor(estimator.estimate(subject(0)), 800) < 1.3)
  })

  it('rises after tasks that were stopped before their end, and never falls', () => {
    const estimator = new LearnedEstimator()
    for (let n = 0; n < 5; n++) estimator.observeAtLeast(n, subject(60), 300)
    assert.ok(estimator.estimate(subject(60)) > 200)
    const before = estimator.estimate(subject(60))
    estimator.observeAtLeast(6, subject(60), 20)
    assert.equal(estimator.estimate(subject(60)), before)
  })

  it('starts the estimate for a new caller from that of its service', () => {
    const estimator = new LearnedEstimator()
    for (let n = 0; n < 50; n++) estimator.observe(n, subject(0, `c${n}`), 1500)
    assert.ok(factor(estimator.estimate(subject(0, 'new')), 1500) < 1.5)
  })

  it('evicts the least recently used pair', () => {
    const estimator = new LearnedEstimator({ maxPairs: 2, maxServices: 1, priorWeight: 1 })
    const of = (service: string) => ({ caller: 'c', service, declaredMs: 0 })
    for (let n = 0; n < 30; n++) estimator.observe(n, of('a'), 5000)
    for (const service of ['b', 'c']) estimator.observe(40, of(service), 100)
    assert.ok(factor(estimator.estimate(of('a')), 300) < 1.01)
  })

  it('always estimates a finite time above 0', () => {
    const runs = fc.array(fc.tuple(fc.double({ min: 0, max: 1e9, noNaN: true }), fc.nat(1e6)))
    fc.assert(
      fc.property(runs, (pairs) => {
        const estimator = new LearnedEstimator()
        pairs.forEach(([runMs, declaredMs], n) => {
          estimator.observe(n, subject(declaredMs), runMs)
          const estimateMs = estimator.estimate(subject(declaredMs))
          assert.ok(estimateMs > 0 && Number.isFinite(estimateMs))
        })
      }),
      { seed: 20264, numRuns: 100 },
    )
  })
})
