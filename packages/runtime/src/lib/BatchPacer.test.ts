import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { BatchPacer } from './BatchPacer'

describe('BatchPacer', () => {
  it('sends the first item after a pause at once', () => {
    const pace = new BatchPacer(25)
    assert.equal(pace.requestSend(100), 0)
    pace.recordSend(100)
    assert.equal(pace.requestSend(125), 0)
  })

  it('sends items within the interval together, at its end', () => {
    const pace = new BatchPacer(25)
    pace.requestSend(100)
    pace.recordSend(100)
    assert.equal(pace.requestSend(110), 15)
    assert.equal(pace.requestSend(112), undefined)
    assert.equal(pace.requestSend(124), undefined)
    pace.recordSend(125)
    assert.equal(pace.requestSend(126), 24)
  })

  it('sends each item at once if the interval is 0', () => {
    const pace = new BatchPacer(0)
    for (const now of [1, 1, 2]) {
      assert.equal(pace.requestSend(now), 0)
      pace.recordSend(now)
    }
  })
})
