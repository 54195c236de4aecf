/**
 * Soak test: long randomised runs of a coordinator with fake owners that assert its invariants.
 * Arguments: first seed, number of seeds. Prints the sums of the coordinator's counters.
 */
import fc from 'fast-check'
import { CoordinatorSimulation } from '../fixtures/CoordinatorSimulation'
import { randomMoves } from '../fixtures/randomMoves'

const RUNS_PER_SEED = 1500
const DEFAULT_SEEDS = 5

const first = Number(process.argv[2] ?? 1)
const seeds = Number(process.argv[3] ?? DEFAULT_SEEDS)
const totals: Record<string, number> = {}
for (let seed = first; seed < first + seeds; seed++) {
  const property = fc.property(randomMoves, (moves) => {
    const simulation = new CoordinatorSimulation()
    for (const move of moves) simulation.move(move)
    simulation.finish()
    for (const [name, count] of Object.entries(simulation.fixture.machine.counters)) {
      totals[name] = (totals[name] ?? 0) + count
    }
  })
  fc.assert(property, { seed, numRuns: RUNS_PER_SEED, endOnFailure: true })
}
console.log(`${seeds * RUNS_PER_SEED} runs`, totals)
