/**
 * Benchmark that compares the health rules. Run with
 * `npx tsx packages/policy/src/lib/bench/healthBench.ts`.
 */
import { AlwaysHealthy } from '../health/AlwaysHealthy'
import { ConsecutiveFailureHealth } from '../health/ConsecutiveFailureHealth'
import { DecayedScoreHealth } from '../health/DecayedScoreHealth'
import type { EndpointHealth } from '../health/EndpointHealth'
import { HealthSimulation } from './simulateHealth'
import type { HealthScenario } from './simulateHealth'

const base: HealthScenario = {
  endpoints: 11,
  slotsEach: 8,
  load: 0.6,
  endMs: 240_000,
  seed: 3,
  bad: 1,
  badShare: () => 1,
  failMs: 5,
  refuses: false,
  noise: 0.002,
  poison: 0,
}
const SEEDS = [3, 4, 5]

const rules: Record<string, () => EndpointHealth> = {
  none: () => new AlwaysHealthy(),
  consecutive: () => new ConsecutiveFailureHealth(),
  'decayed score': () => new DecayedScoreHealth(),
  'decayed, success factor 0.5': () => new DecayedScoreHealth({ successDecayFactor: 0.5 }),
  'decayed, success factor 0.75': () => new DecayedScoreHealth({ successDecayFactor: 0.75 }),
  'decayed, aggressiveness 1': () => new DecayedScoreHealth({ aggressiveness: 1 }),
}

const failsOnAndOff = (sinceMs: number): number => (Math.floor(sinceMs / 10_000) % 2 === 0 ? 1 : 0)
const scenarios: Record<string, HealthScenario> = {
  'fails all tasks, fast (5 ms)': base,
  'fails all tasks, slowly (2 s)': { ...base, failMs: 2000 },
  'fails half of the tasks': { ...base, badShare: () => 0.5, failMs: 100 },
  'fails 30 % of the tasks': { ...base, badShare: () => 0.3, failMs: 100 },
  'fails all tasks, on and off every 10 s': { ...base, badShare: failsOnAndOff },
  'refuses all tasks': { ...base, refuses: true },
  'three of 11 endpoints fail all tasks, fast': { ...base, bad: 3 },
  'seven of 11 endpoints fail all tasks, fast': { ...base, bad: 7 },
  '2 % of jobs fail at every endpoint': { ...base, bad: 0, poison: 0.02 },
  '30 % of jobs fail at every endpoint': { ...base, bad: 0, poison: 0.3 },
  '5 % of tasks fail at random': { ...base, bad: 0, noise: 0.05 },
  '10 % of tasks fail at random': { ...base, bad: 0, noise: 0.1 },
  '20 % of tasks fail at random': { ...base, bad: 0, noise: 0.2 },
  'all 11 endpoints fail all tasks for 60 s': {
    ...base,
    bad: 11,
    failMs: 100,
    badShare: (sinceMs) => (sinceMs < 60_000 ? 1 : 0),
  },
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}

function describe(scenario: HealthScenario, make: () => EndpointHealth) {
  const runs = SEEDS.map((seed) => new HealthSimulation({ ...scenario, seed }, make()).run())
  const average = (value: (run: (typeof runs)[number]) => number): number => mean(runs.map(value))
  const ejected = runs.flatMap((run) => run.ejectedAfterMs)
  return {
    'faulty endpoints ejected': `${ejected.length}/${scenario.bad * SEEDS.length}`,
    'ejected after ms': mean(ejected).toFixed(0),
    'failures before ejection': mean(runs.flatMap((run) => run.failuresBeforeEjection)).toFixed(1),
    'failures at faulty endpoints': average((run) => run.badFailures).toFixed(0),
    'false ejections': average((run) => run.falseEjections).toFixed(1),
    'healthy time lost %': (100 * average((run) => run.healthyTimeLost)).toFixed(2),
    'valid jobs failed %': (100 * average((run) => run.failedJobs / run.jobs)).toFixed(2),
  }
}

for (const [title, scenario] of Object.entries(scenarios)) {
  console.log(`\n${title}`)
  const rows = Object.entries(rules).map(([name, make]) => [name, describe(scenario, make)])
  console.table(Object.fromEntries(rows))
}
