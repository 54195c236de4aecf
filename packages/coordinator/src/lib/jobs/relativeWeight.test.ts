import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { relativeWeight } from './relativeWeight'

const weights = new Map([
  ['desk', 3],
  ['batch', 1],
])

describe('relativeWeight', () => {
  const cases = [
    { name: 'a caller alone', caller: 'desk', active: [], expected: 1 },
    { name: 'the heavier of two', caller: 'desk', active: ['batch'], expected: 1.5 },
    { name: 'the lighter of two', caller: 'batch', active: ['batch', 'desk'], expected: 0.5 },
    { name: 'one without a weight', caller: 'new', active: ['desk'], expected: 0.5 },
  ]
  for (const { name, caller, active, expected } of cases) {
    it(`of ${name} is ${expected}`, () => {
      assert.equal(relativeWeight(caller, active, weights), expected)
    })
  }
})
