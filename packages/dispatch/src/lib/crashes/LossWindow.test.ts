import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { maxConcurrentLosses } from './LossWindow'

const busy = { after: 90, until: 190 }

describe('endpoints that may have been lost at one moment', () => {
  it('are counted together when one was idle, so that its loss was detected later', () => {
    const idle = { after: 0, until: 620 }
    assert.equal(maxConcurrentLosses(busy, [busy, idle]), 2)
    assert.equal(maxConcurrentLosses(idle, [busy, idle]), 2)
  })

  it('are not counted when one answered after the other was silent', () => {
    assert.equal(maxConcurrentLosses(busy, [busy, { after: 190, until: 300 }]), 1)
  })

  it('are counted for one common moment, not for a different one each', () => {
    const early = { after: 0, until: 100 }
    const late = { after: 180, until: 300 }
    assert.equal(maxConcurrentLosses(busy, [busy, early, late]), 2)
  })
})
