import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { LeaderWarmup } from './LeaderWarmup'

describe('the leader warm-up', () => {
  it('ends, and completes most of its jobs', () => {
    const warmup = new LeaderWarmup()
    let steps = 0
    while (!warmup.isDone) {
      warmup.step()
      steps++
    }
    assert.ok(steps > 100)
    assert.ok(warmup.completed > 2 * steps, `${warmup.completed} jobs in ${steps} steps`)
  })
})
