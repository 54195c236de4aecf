import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Rehearsal } from './Rehearsal'

describe('a rehearsal', () => {
  it('ends, and plays most of its jobs to their end', () => {
    const rehearsal = new Rehearsal()
    let steps = 0
    while (!rehearsal.isOver) {
      rehearsal.step()
      steps++
    }
    assert.ok(steps > 100)
    assert.ok(rehearsal.completed > 2 * steps, `${rehearsal.completed} jobs in ${steps} steps`)
  })
})
