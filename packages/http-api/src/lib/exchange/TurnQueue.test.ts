import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { TurnQueue } from './TurnQueue'

/** A queue whose clock and event-loop turns the test controls; each work item takes 1 ms. */
function openQueue(budgetMs: number) {
  let now = 0
  const turns: (() => void)[] = []
  const done: number[] = []
  const queue = new TurnQueue(
    budgetMs,
    () => now,
    (callback) => turns.push(callback),
  )
  const add = (id: number, also = (): void => undefined): void => {
    queue.add(() => {
      now += 1
      done.push(id)
      also()
    })
  }
  return { queue, turns, done, add, turn: () => turns.shift()?.() }
}

describe('TurnQueue', () => {
  it('runs nothing before the next turn, and schedules only one turn', () => {
    const { turns, done, add } = openQueue(5)
    add(1)
    add(2)
    assert.deepEqual(done, [])
    assert.equal(turns.length, 1)
  })

  it('defers work beyond the budget to later turns, in order', () => {
    const { queue, turns, done, add, turn } = openQueue(2)
    for (const id of [1, 2, 3, 4, 5]) add(id)
    turn()
    assert.deepEqual(done, [1, 2])
    assert.equal(queue.size(), 3)
    turn()
    turn()
    assert.deepEqual(done, [1, 2, 3, 4, 5])
    assert.equal(turns.length, 0)
  })

  it('runs at least one work item per turn however small the budget', () => {
    const { done, add, turn } = openQueue(0)
    add(1)
    add(2)
    turn()
    assert.deepEqual(done, [1])
  })

  it('accepts work added by running work', () => {
    const { done, add, turn } = openQueue(2)
    add(1, () => {
      add(2)
    })
    turn()
    turn()
    assert.deepEqual(done, [1, 2])
  })

  it('continues after work that throws', () => {
    const { done, add, turn } = openQueue(5)
    add(1, () => {
      throw new Error('broken')
    })
    add(2)
    assert.throws(turn)
    turn()
    assert.deepEqual(done, [1, 2])
  })
})
