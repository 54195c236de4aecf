import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ExtraDelay } from './ExtraDelay'

const EVERY_MS = 1_000

describe('the extra delay of messages', () => {
  it('is their transit time beyond that of the fastest message', () => {
    const delay = new ExtraDelay()
    assert.equal(delay.record(1_000, 70_000), 0)
    assert.equal(delay.record(2_400, 71_000), 400)
    assert.equal(delay.record(3_000, 72_000), 0)
  })

  it('does not accumulate clock drift', () => {
    const delay = new ExtraDelay()
    let most = 0
    for (let now = 0; now < 10_000 * EVERY_MS; now += EVERY_MS) {
      most = Math.max(most, delay.record(now, now * 0.9999))
    }
    assert.ok(most < 10, `${most} ms`)
  })
})
