import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { maxMinShares } from './maxMinShares'

const claims = fc.array(
  fc.record({ weight: fc.double({ min: 0.1, max: 8, noNaN: true }), demand: fc.nat(100) }),
  { minLength: 1, maxLength: 6 },
)

describe('a division by weighted max-min fairness', () => {
  it('gives no party more than its demand, or less than its weighted share of it', () => {
    fc.assert(
      fc.property(fc.nat(200), claims, (capacity, parties) => {
        const weights = parties.reduce((sum, { weight }) => sum + weight, 0)
        for (const [index, amount] of maxMinShares(capacity, parties).entries()) {
          const { weight, demand } = parties[index] ?? { weight: 0, demand: 0 }
          assert.ok(amount <= demand)
          assert.ok(amount >= Math.min(demand, (capacity * weight) / weights) - 1e-9)
        }
      }),
    )
  })

  it('divides what is left by weights that are far below those of other parties', () => {
    const shares = maxMinShares(100, [
      { weight: 1, demand: 10 },
      { weight: 2 ** -60, demand: Infinity },
      { weight: 2 ** -60, demand: Infinity },
    ])
    assert.deepEqual(shares, [10, 45, 45])
  })

  it('leaves nothing unused that a party demands', () => {
    fc.assert(
      fc.property(fc.nat(200), claims, (capacity, parties) => {
        const given = maxMinShares(capacity, parties).reduce((sum, amount) => sum + amount, 0)
        const demand = parties.reduce((sum, party) => sum + party.demand, 0)
        assert.ok(Math.abs(given - Math.min(capacity, demand)) < 1e-6)
      }),
    )
  })
})
