import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { GatherPace } from './GatherPace'

describe('BatchPacer', () => {
  it('sends the first item after a pause at once', () => {
    const pace = new GatherPace(25)
    assert.equal(pace.note(100), 0)
    pace.noteSent(100)
    assert.equal(pace.note(125), 0)
  })

  it('sends items within the interval together, at its end', () => {
    const pace = new GatherPace(25)
    pace.note(100)
    pace.noteSent(100)
    assert.equal(pace.note(110), 15)
    assert.equal(pace.note(112), undefined)
    assert.equal(pace.note(124), undefined)
    pace.noteSent(125)
    assert.equal(pace.note(126), 24)
  })

  it('sends each item at once if the interval is 0', () => {
    const pace = new GatherPace(0)
    for (const now of [1, 1, 2]) {
      assert.equal(pace.note(now), 0)
      pace.noteSent(now)
    }
  })
})
