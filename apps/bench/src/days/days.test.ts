import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { formatDays } from './formatDays'
import { sumDays } from './sumDays'
import type { PlayedDay } from './sumDays'

const calm: PlayedDay = { name: 'calm', G: 0.9, rules: {}, gate: true, short: [], fault: null }
const head = { id: '1a2b3c4d', cmd: 'hunt', head: '0123456789', site: 'somewhere' }

describe('the summary of played days', () => {
  it('counts a day that fails the gate though no rule is broken', () => {
    const late = { ...calm, name: 'late', gate: false, short: ['no ack in time'] }
    const { withBrokenRules, failingGate } = sumDays({ ...head, days: [calm, late] })
    assert.equal(withBrokenRules.length, 0)
    assert.deepEqual(failingGate, [late])
  })

  it('names each red day with its reasons', () => {
    const days = [
      calm,
      { ...calm, name: 'doubled', G: 0.5, gate: false, rules: { TWICE: 1 } },
      { ...calm, name: 'ended', G: 0.1, fault: 'the day took too long' },
    ]
    assert.deepEqual(formatDays({ ...head, days }).split('\n'), [
      '1a2b3c4d hunt somewhere 0123456: 3 days, 1 with a broken rule, 1 that fail the gate, ' +
        '1 with a fault, worth 0.500 on average, 0.100 at least',
      '  doubled: TWICE',
      '  ended: "the day took too long"',
    ])
  })
})
