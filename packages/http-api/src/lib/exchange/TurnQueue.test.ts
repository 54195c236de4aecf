import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { TurnQueue } from './TurnQueue'

/** A queue whose time and turns the test moves; each piece of work takes 1 ms. */
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

describe('the queue of work for turns of the event loop', () => {
  it('runs nothing before the next turn, and asks for one turn only', () => {
    const { turns, done, add } = openQueue(5)
    add(1)
    add(2)
    assert.deepEqual(done, [])
    assert.equal(turns.length, 1)
  })

  it('leaves what exceeds the budget to later turns, in order', () => {
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

  it('moves on by one piece a turn however small the budget', () => {
    const { done, add, turn } = openQueue(0)
    add(1)
    add(2)
    turn()
    assert.deepEqual(done, [1])
  })

  it('takes work that is added by work', () => {
    const { done, add, turn } = openQueue(2)
    add(1, () => {
      add(2)
    })
    turn()
    turn()
    assert.deepEqual(done, [1, 2])
  })

  it('goes on after work that throws', () => {
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
