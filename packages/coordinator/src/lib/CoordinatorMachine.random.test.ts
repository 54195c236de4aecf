import { describe, it } from 'node:test'
import fc from 'fast-check'
import { FakeWorld } from './fixtures/FakeWorld'
import { randomMoves } from './fixtures/randomMoves'

const RUNS = 300

describe('in randomised runs with losses, repeats, restarts and cancellations', () => {
  for (const seed of [1, 2, 3]) {
    it(`every promise of the coordinator holds (seed ${seed})`, () => {
      const property = fc.property(randomMoves, (moves) => {
        const world = new FakeWorld()
        for (const move of moves) world.move(move)
        world.finish()
      })
      fc.assert(property, { seed, numRuns: RUNS, endOnFailure: true })
    })
  }
})
