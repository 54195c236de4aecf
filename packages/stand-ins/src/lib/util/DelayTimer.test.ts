import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DelayTimer } from './DelayTimer'

const ROUNDS = 1000

describe('the rounding of delays', () => {
  for (const delayMs of [0.5, 1, 1.5, 3, 12.25]) {
    it(`asks for ${delayMs} ms in the mean`, () => {
      const timer = new DelayTimer()
      let total = 0
      for (let i = 0; i < ROUNDS; i++) {
        const whole = timer.round(delayMs)
        assert.ok(Math.abs(whole - delayMs) <= 1.5, `${whole} for ${delayMs}`)
        // A wait of no time takes none; every other one takes the timer's own 0.3 ms too.
        total += whole === 0 ? 0 : whole + 0.3
      }
      assert.ok(Math.abs(total / ROUNDS - delayMs) < 0.01)
    })
  }

  it('asks for nothing when there is no delay', () => {
    assert.equal(new DelayTimer().round(0), 0)
  })
})
