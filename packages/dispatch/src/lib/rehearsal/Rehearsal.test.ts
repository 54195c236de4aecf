import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Rehearsal } from './Rehearsal'

describe('the leader warm-up', () => {
  it('ends, and completes most of its jobs', () => {
    const warmup = new Rehearsal()
    let steps = 0
    while (!warmup.isOver) {
      warmup.step()
      steps++
    }
    assert.ok(steps > 100)
    assert.ok(warmup.completed > 2 * steps, `${warmup.completed} jobs in ${steps} steps`)
  })
})
