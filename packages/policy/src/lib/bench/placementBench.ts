/**
 * Benchmark that compares the pickers in the presence of stragglers. Run with
 * `npx tsx packages/policy/src/lib/bench/placementBench.ts`.
 */
import { RandomPicker } from '../placement/RandomPicker'
import { SpreadFastPicker } from '../placement/SpreadFastPicker'
import type { EndpointPicker } from '../placement/EndpointPicker'
import { quantile } from '../util/quantile'
import { PlacementSimulation } from './simulatePlacement'
import type { PlacementScenario } from './simulatePlacement'

const base: PlacementScenario = {
  endpoints: 11,
  slotsEach: 8,
  endpointsPerRack: 4,
  load: 0.6,
  jobs: 3000,
  seed: 9,
  stragglers: 1,
  slowFactor: 8,
  tellsOutlook: false,
}

const pickers: Record<
  string,
  (scenario: PlacementScenario) => [EndpointPicker, PlacementScenario]
> = {
  random: (scenario) => [new RandomPicker(), scenario],
  'spread and fast': (scenario) => [new SpreadFastPicker(), scenario],
  'with outlook': (scenario) => [new SpreadFastPicker(), { ...scenario, tellsOutlook: true }],
  'never holds': (scenario) => [new SpreadFastPicker({ maxHoldMs: 0 }), scenario],
  'stragglers from slowness 4': (scenario) => [
    new SpreadFastPicker({ stragglerSlowness: 4 }),
    scenario,
  ],
  'holds up to 20 s': (scenario) => [
    new SpreadFastPicker({ maxHoldMs: 20_000 }),
    { ...scenario, tellsOutlook: true },
  ],
  'spreads more': (scenario) => [
    new SpreadFastPicker({ sameEndpointCost: 0.05, sameRackCost: 0.01 }),
    scenario,
  ],
  'no spreading': (scenario) => [
    new SpreadFastPicker({ sameEndpointCost: 0, sameRackCost: 0 }),
    scenario,
  ],
}

const scenarios: Record<string, PlacementScenario> = {
  '60 % load, no straggler': { ...base, stragglers: 0 },
  '60 % load, one of 11 is 8 times slower': base,
  '60 % load, one of 11 is 3 times slower': { ...base, slowFactor: 3 },
  '85 % load, one of 11 is 8 times slower': { ...base, load: 0.85 },
  '60 % load, three of 11 are 8 times slower': { ...base, stragglers: 3 },
}

for (const [title, scenario] of Object.entries(scenarios)) {
  console.log(`\n${title}: response over ideal`)
  const rows = Object.entries(pickers).map(([name, make]) => {
    const [picker, adapted] = make(scenario)
    const { stretches, tasks, tasksAtStragglers } = new PlacementSimulation(adapted, picker).run()
    const mean = stretches.reduce((sum, one) => sum + one, 0) / stretches.length
    const row = {
      mean: mean.toFixed(3),
      p95: quantile(stretches, 0.95)?.toFixed(2),
      p99: quantile(stretches, 0.99)?.toFixed(2),
      'tasks at stragglers %': ((100 * tasksAtStragglers) / tasks).toFixed(2),
    }
    return [name, row]
  })
  console.table(Object.fromEntries(rows))
}
