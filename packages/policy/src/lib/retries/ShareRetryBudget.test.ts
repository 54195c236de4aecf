import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { ShareRetryBudget } from '../../index'

/** Requests a number of retries and returns how many were granted. */
function granted(budget: ShareRetryBudget, asked: number): number {
  let count = 0
  for (let n = 0; n < asked; n++) if (budget.takeRetry(0, 0, 0.5) !== undefined) count++
  return count
}

describe('retries as a share of new work', () => {
  it('grants the initial tokens, then a share of new work', () => {
    const budget = new ShareRetryBudget({ share: 0.1, maxTokens: 20 })
    assert.equal(granted(budget, 500), 20)
    for (let n = 0; n < 100; n++) budget.recordNewTasks(0, 1)
    assert.equal(granted(budget, 500), 10)
  })

  it('accumulates no more tokens than the capacity', () => {
    const budget = new ShareRetryBudget({ share: 0.5, maxTokens: 20 })
    budget.recordNewTasks(0, 100_000)
    assert.equal(granted(budget, 500), 20)
  })

  it('grants none with a share of 0', () => {
    const budget = new ShareRetryBudget({ share: 0 })
    budget.recordNewTasks(0, 1000)
    assert.equal(granted(budget, 1), 0)
  })

  it('takes no token after the last attempt', () => {
    const budget = new ShareRetryBudget({ maxAttempts: 2, maxTokens: 1 })
    assert.equal(budget.takeRetry(0, 2, 0.5), undefined)
    assert.notEqual(budget.takeRetry(0, 1, 0.5), undefined)
  })

  const delays: [number, number, number][] = [
    [0, 1, 50],
    [1, 1, 100],
    [3, 1, 400],
    [3, 0.5, 200],
    [3, 0, 0],
    [9, 1, 2000],
  ]
  for (const [attempt, draw, expected] of delays) {
    it(`waits ${expected} ms after ${attempt} retries with a draw of ${draw}`, () => {
      const budget = new ShareRetryBudget({ maxAttempts: 10 })
      assert.equal(budget.takeRetry(0, attempt, draw), expected)
    })
  }

  it('never grants more than the initial and added tokens, in any order', () => {
    const step = fc.record({ fresh: fc.nat(20), retries: fc.nat(20) })
    fc.assert(
      fc.property(fc.array(step), (steps) => {
        const budget = new ShareRetryBudget({ share: 0.25, maxTokens: 10 })
        let fresh = 0
        let retries = 0
        for (const one of steps) {
          budget.recordNewTasks(0, one.fresh)
          fresh += one.fresh
          retries += granted(budget, one.retries)
          assert.ok(retries <= 10 + fresh * 0.25)
        }
      }),
      { seed: 20266, numRuns: 200 },
    )
  })
})
