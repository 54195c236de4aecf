/**
 * Benchmark that compares the queue orders. Run with
 * `npx tsx packages/policy/src/lib/bench/orderBench.ts`.
 */
import { DeadlineFairQueue } from '../order/DeadlineFairQueue'
import type { DeadlineFairQueueOptions } from '../order/DeadlineFairQueue'
import { FifoQueue } from '../order/FifoQueue'
import { LeastWorkQueue } from '../order/LeastWorkQueue'
import type { TaskQueue } from '../order/TaskQueue'
import { simulateOrder } from './simulateOrder'
import type { JobOutcome, OrderScenario } from './simulateOrder'

const base: OrderScenario = {
  slots: 88,
  load: 0.9,
  jobs: 8000,
  seed: 7,
  deadlineMs: 30_000,
  heavyShare: 0.05,
  callers: 20,
  floodJobs: 0,
  tightShare: 0,
}

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}

function stretches(outcomes: readonly JobOutcome[]): number[] {
  return outcomes.map((one) => one.responseMs / one.idealMs)
}

function describe(outcomes: readonly JobOutcome[]): Record<string, string> {
  const all = stretches(outcomes)
  const large = stretches(outcomes.filter((one) => one.tasks >= 50))
  const light = stretches(outcomes.filter((one) => one.caller !== 'c0'))
  const heavy = stretches(outcomes.filter((one) => one.caller === 'c0'))
  const late = outcomes.filter((one) => !one.onTime).length / outcomes.length
  return {
    mean: mean(all).toFixed(3),
    p95: quantile(all, 0.95).toFixed(2),
    p99: quantile(all, 0.99).toFixed(2),
    max: quantile(all, 1).toFixed(1),
    'mean, large': mean(large).toFixed(2),
    'p99, large': quantile(large, 0.99).toFixed(2),
    light: mean(light).toFixed(3),
    'p99, light': quantile(light, 0.99).toFixed(2),
    heavy: mean(heavy).toFixed(3),
    'mean ms': mean(outcomes.map((one) => one.responseMs)).toFixed(0),
    'late %': (100 * late).toFixed(2),
  }
}

const dueTime = (options: Partial<DeadlineFairQueueOptions>) => () =>
  new DeadlineFairQueue<never>(options)

const queues: Record<string, () => TaskQueue<never>> = {
  fifo: () => new FifoQueue<never>(),
  'least work': () => new LeastWorkQueue<never>(),
  'due time': dueTime({}),
  'stretch 0.3': dueTime({ stretch: 0.3 }),
  'stretch 3': dueTime({ stretch: 3 }),
  'no deadlines': dueTime({ urgencyMs: -Infinity }),
  'urgency 2 s': dueTime({ urgencyMs: 2000 }),
  'slowdown 0': dueTime({ excessSlowdown: 0 }),
  'slowdown 1': dueTime({ excessSlowdown: 1 }),
  'slowdown 4': dueTime({ excessSlowdown: 4 }),
}

const scenarios: Record<string, OrderScenario> = {
  '60 % load': { ...base, load: 0.6 },
  '90 % load': base,
  '97 % load': { ...base, load: 0.97 },
  '90 % load, half the deadlines 3 s': { ...base, tightShare: 0.5 },
  '97 % load, half the deadlines 3 s': { ...base, load: 0.97, tightShare: 0.5 },
  '60 % load, one caller sends 4,000 single-task jobs at once': {
    ...base,
    load: 0.6,
    floodJobs: 4000,
  },
  '60 % load of 24 slots, one caller sends 1,000 single-task jobs at once': {
    ...base,
    slots: 24,
    load: 0.6,
    jobs: 3000,
    floodJobs: 1000,
  },
  '60 % load of 264 slots, one caller sends 10,000 single-task jobs at once': {
    ...base,
    slots: 264,
    load: 0.6,
    jobs: 12_000,
    floodJobs: 10_000,
  },
  '90 % load, one caller sends half of the jobs': { ...base, heavyShare: 0.5 },
  '110 % load, one caller sends half of the jobs, deadline 10 s': {
    ...base,
    load: 1.1,
    jobs: 3000,
    heavyShare: 0.5,
    deadlineMs: 10_000,
  },
}

for (const [title, scenario] of Object.entries(scenarios)) {
  console.log(`\n${title}: response over ideal`)
  const rows = Object.entries(queues).map(([name, make]) => [
    name,
    describe(simulateOrder(make(), scenario)),
  ])
  console.table(Object.fromEntries(rows))
}
