import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { lastConfirmableAt } from './lastConfirmableAt'

const cases: readonly (readonly [readonly number[], number, number, string])[] = [
  [[5, 9], 3, 9, 'a third voter that has not answered may have followed with the latest one'],
  [[5, 9, 7], 3, 7, 'two of three have to follow'],
  [[1, 2, 3], 5, 3, 'the two that have not answered may have followed with any'],
  [[1, 2, 3, 4, 5], 5, 3, 'three of five have to follow'],
  [[1, 2, 3], 4, 2, 'three of four have to follow'],
  [[9], 3, Infinity, 'two that have not answered are a majority'],
  [[4], 1, 4, 'one voter is its own majority'],
]

describe('the latest time at which an earlier leader can have been confirmed', () => {
  for (const [followedUntil, voters, at, why] of cases) {
    it(`is ${at} for ${followedUntil.join(', ')} of ${voters} voters: ${why}`, () => {
      assert.equal(lastConfirmableAt(followedUntil, voters), at)
    })
  }
})
