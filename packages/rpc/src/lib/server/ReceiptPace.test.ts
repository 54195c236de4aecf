import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ReceiptPace } from './ReceiptPace'

describe('the pace of receipts', () => {
  it('answers the first batch after a pause at once', () => {
    const pace = new ReceiptPace(25)
    assert.equal(pace.note(100), 0)
    pace.noteSent(100)
    assert.equal(pace.note(125), 0)
  })

  it('answers what comes within the gap together, at its end', () => {
    const pace = new ReceiptPace(25)
    pace.note(100)
    pace.noteSent(100)
    assert.equal(pace.note(110), 15)
    assert.equal(pace.note(112), undefined)
    assert.equal(pace.note(124), undefined)
    pace.noteSent(125)
    assert.equal(pace.note(126), 24)
  })

  it('answers every batch at once without a gap', () => {
    const pace = new ReceiptPace(0)
    for (const now of [1, 1, 2]) {
      assert.equal(pace.note(now), 0)
      pace.noteSent(now)
    }
  })
})
