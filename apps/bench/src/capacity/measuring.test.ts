import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { heldBytes, median, slopeOf } from './measuring'

describe('measuring', () => {
  it('takes the middle value, not the mean, so that one slow run does not count', () => {
    assert.equal(median([3, 1, 1000, 2, 4]), 3)
  })

  it('gives the slope of points on a line and leaves out what does not grow', () => {
    const points = [300, 1000, 3000].map((size) => [size, 5000 + 2101 * size] as const)
    assert.ok(Math.abs(slopeOf(points) - 2101) < 1e-6)
  })

  it('counts what is kept alive, and not what is garbage', () => {
    const makeRecords = (): object[] => Array.from({ length: 100_000 }, (_, n) => ({ n }))
    const kept = heldBytes(makeRecords)
    const dropped = heldBytes(() => ({ length: makeRecords().length }))
    assert.ok(kept > 1_600_000, `${kept} bytes`)
    assert.ok(dropped < 800_000, `${dropped} bytes`)
  })
})
