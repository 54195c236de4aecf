import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { seededRandom } from './seededRandom'

const draw = (seed: number, count: number): number[] => {
  const random = seededRandom(seed)
  return Array.from({ length: count }, () => random())
}

describe('seededRandom', () => {
  it('gives the same numbers for the same seed and different ones for another seed', () => {
    assert.deepEqual(draw(7, 20), draw(7, 20))
    assert.notDeepEqual(draw(7, 20), draw(8, 20))
  })

  it('gives the same numbers in every version, since tests rely on particular seeds', () => {
    const expected = [0.6270739405881613, 0.002735721180215478, 0.5274470399599522]
    assert.deepEqual(draw(1, 3), expected)
  })

  it('gives numbers in [0, 1) with a mean of 0.5', () => {
    const numbers = draw(3, 10_000)
    assert.ok(numbers.every((number) => number >= 0 && number < 1))
    const mean = numbers.reduce((sum, number) => sum + number, 0) / numbers.length
    assert.ok(Math.abs(mean - 0.5) < 0.02, `mean ${mean}`)
  })
})
