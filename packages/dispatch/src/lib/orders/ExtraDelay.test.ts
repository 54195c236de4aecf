import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ExtraDelay } from './ExtraDelay'

const EVERY_MS = 1_000

describe('the delay of messages', () => {
  it('is what their way took beyond the quickest', () => {
    const delay = new ExtraDelay()
    assert.equal(delay.note(1_000, 70_000), 0)
    assert.equal(delay.note(2_400, 71_000), 400)
    assert.equal(delay.note(3_000, 72_000), 0)
  })

  it('does not grow with clocks that drift apart', () => {
    const delay = new ExtraDelay()
    let most = 0
    for (let now = 0; now < 10_000 * EVERY_MS; now += EVERY_MS) {
      most = Math.max(most, delay.note(now, now * 0.9999))
    }
    assert.ok(most < 10, `${most} ms`)
  })
})
