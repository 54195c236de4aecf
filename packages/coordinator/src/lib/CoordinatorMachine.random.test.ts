import { describe, it } from 'node:test'
import fc from 'fast-check'
import { CoordinatorSimulation } from './fixtures/CoordinatorSimulation'
import { randomMoves } from './fixtures/randomMoves'

const RUNS = 300

describe('in random runs with losses, repeated messages, restarts and cancellations', () => {
  for (const seed of [1, 2, 3]) {
    it(`the invariants of the coordinator hold (seed ${seed})`, () => {
      const property = fc.property(randomMoves, (moves) => {
        const simulation = new CoordinatorSimulation()
        for (const move of moves) simulation.move(move)
        simulation.finish()
      })
      fc.assert(property, { seed, numRuns: RUNS, endOnFailure: true })
    })
  }
})
