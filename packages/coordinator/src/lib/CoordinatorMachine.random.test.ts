import { describe, it } from 'node:test'
import fc from 'fast-check'
import { FakeWorld } from './fixtures/FakeWorld'

const RUNS = 300
const pauses = fc.oneof({ weight: 6, arbitrary: fc.constant(0) }, fc.nat(120), fc.nat(700))
const moves = fc.array(fc.record({ op: fc.nat(100_000), pick: fc.nat(100_000), ms: pauses }), {
  minLength: 50,
  maxLength: 400,
  size: 'max',
})

describe('in randomised runs with losses, repeats, restarts and cancellations', () => {
  for (const seed of [1, 2, 3]) {
    it(`every promise of the coordinator holds (seed ${seed})`, () => {
      fc.assert(
        fc.property(moves, (chosen) => {
          const world = new FakeWorld()
          for (const move of chosen) world.move(move)
          world.finish()
        }),
        { seed, numRuns: RUNS, endOnFailure: true },
      )
    })
  }
})
