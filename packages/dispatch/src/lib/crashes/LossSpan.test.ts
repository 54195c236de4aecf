import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { mostTogether } from './LossSpan'

const busy = { after: 90, until: 190 }

describe('endpoints that may have been lost at one moment', () => {
  it('are counted where one was idle, so that its loss showed later', () => {
    const idle = { after: 0, until: 620 }
    assert.equal(mostTogether(busy, [busy, idle]), 2)
    assert.equal(mostTogether(idle, [busy, idle]), 2)
  })

  it('are not counted when one answered after the other was silent', () => {
    assert.equal(mostTogether(busy, [busy, { after: 190, until: 300 }]), 1)
  })

  it('share one moment, not each another one', () => {
    const early = { after: 0, until: 100 }
    const late = { after: 180, until: 300 }
    assert.equal(mostTogether(busy, [busy, early, late]), 2)
  })
})
