/**
 * Benchmark that compares the routers in three zones. Run with
 * `npx tsx packages/policy/src/lib/bench/routingBench.ts`.
 */
import { MeasuredWaitRouter } from '../routing/MeasuredWaitRouter'
import type { OwnerRouter } from '../routing/OwnerRouter'
import { OwnZoneRouter } from '../routing/OwnZoneRouter'
import { quantile } from '../util/quantile'
import { RoutingSimulation } from './simulateRouting'
import type { RoutingScenario } from './simulateRouting'

const base: RoutingScenario = {
  slotsPerZone: 88,
  loads: [0.6, 0.6, 0.6],
  instancesPerZone: 2,
  reportMs: 100,
  crossZoneDelayMs: 1.5,
  endMs: 120_000,
  seed: 13,
}

const routers: Record<string, () => OwnerRouter> = {
  'own zone': () => new OwnZoneRouter(),
  ...Object.fromEntries(
    [3, 20, 100].map((spillMarginMs) => [
      `margin ${spillMarginMs} ms`,
      () => new MeasuredWaitRouter({ spillMarginMs, spillMarginPerRun: 0 }),
    ]),
  ),
  ...Object.fromEntries(
    [0.1, 0.3, 1].map((spillMarginPerRun) => [
      `margin 3 ms and ${spillMarginPerRun} of a run`,
      () => new MeasuredWaitRouter({ spillMarginMs: 3, spillMarginPerRun }),
    ]),
  ),
}

const scenarios: Record<string, RoutingScenario> = {
  'all zones at 60 %': base,
  'all zones at 90 %': { ...base, loads: [0.9, 0.9, 0.9] },
  'one zone at 130 %, two at 40 %': { ...base, loads: [1.3, 0.4, 0.4] },
  'the same, reports every 500 ms': { ...base, loads: [1.3, 0.4, 0.4], reportMs: 500 },
  'one zone at 90 %, two at 30 %, reports every 500 ms': {
    ...base,
    loads: [0.9, 0.3, 0.3],
    reportMs: 500,
  },
}

for (const [title, scenario] of Object.entries(scenarios)) {
  console.log(`\n${title}: response over ideal`)
  const rows = Object.entries(routers).map(([name, make]) => {
    const { stretches, tasks, tasksInOtherZones } = new RoutingSimulation(scenario, make).run()
    const mean = stretches.reduce((sum, one) => sum + one, 0) / stretches.length
    const row = {
      mean: mean.toFixed(3),
      p95: quantile(stretches, 0.95)?.toFixed(2),
      p99: quantile(stretches, 0.99)?.toFixed(2),
      'tasks in other zones %': ((100 * tasksInOtherZones) / tasks).toFixed(1),
    }
    return [name, row]
  })
  console.table(Object.fromEntries(rows))
}
