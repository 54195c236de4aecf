import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { makeBoot } from './makeBoot'

const TIME_OF_DAY = Date.UTC(2026, 11, 4)

describe('a boot number', () => {
  it('differs for processes that started at the same time of day', () => {
    const boots = new Set(Array.from({ length: 20 }, () => makeBoot(TIME_OF_DAY)))
    assert.ok(boots.size >= 19, `${boots.size} numbers for 20 processes`)
  })

  it('is higher for a later start, and exact', () => {
    const latest = makeBoot(TIME_OF_DAY, (max) => max - 1)
    assert.ok(makeBoot(TIME_OF_DAY + 100, () => 0) > latest)
    assert.ok(latest > TIME_OF_DAY, 'above those of builds that used the time of day alone')
    assert.ok(Number.isSafeInteger(makeBoot(Date.UTC(2078, 0), (max) => max - 1)))
  })
})
