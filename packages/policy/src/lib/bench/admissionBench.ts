/**
 * Benchmark of admission under a burst of ten times the capacity. Run with
 * `npx tsx packages/policy/src/lib/bench/admissionBench.ts`.
 */
import { create } from '@bufbuild/protobuf'
import { PresetDefinitionSchema, Reason } from '@cherryhitch/protocol'
import type { Admission } from '../admission/Admission'
import { PredictedFinishAdmission } from '../admission/PredictedFinishAdmission'
import { QueueLimitAdmission } from '../admission/QueueLimitAdmission'
import { DeadlineFairQueue } from '../order/DeadlineFairQueue'
import { BurstSimulation } from './simulateAdmission'
import type { BurstOutcome, BurstScenario } from './simulateAdmission'
import type { SimulatedTask } from './workload'

const base: BurstScenario = {
  slots: 88,
  instances: 7,
  reportMs: 100,
  baseLoad: 0.6,
  burstLoad: 10,
  burstFromMs: 20_000,
  burstMs: 20_000,
  endMs: 60_000,
  deadlinesMs: [3000, 10_000, 30_000],
  attempts: 3,
  heavyShare: 0.05,
  callers: 20,
  seed: 11,
}

const preset = create(PresetDefinitionSchema, { jobsInFlightPerInstance: 200 })
const admissions: Record<string, () => Admission> = {
  'job limit': () => new QueueLimitAdmission(preset),
  'predicted finish': () => new PredictedFinishAdmission(),
  'share always enforced': () => new PredictedFinishAdmission({ contentionThreshold: 0 }),
  'wait safety factor 2': () => new PredictedFinishAdmission({ waitSafetyFactor: 2 }),
  'retries not paced': () => new PredictedFinishAdmission({ paceRetries: false }),
  'whole queue ahead': () => new PredictedFinishAdmission({ byDueTime: false }),
}

const scenarios: Record<string, BurstScenario> = {
  'ten times the capacity for 20 s': base,
  'the same, reports every 500 ms': { ...base, reportMs: 500 },
  'the same, one caller sends 90 %': { ...base, heavyShare: 0.9 },
  'twice the capacity for 20 s': { ...base, burstLoad: 2 },
  '90 % load, no burst': { ...base, baseLoad: 0.9, burstLoad: 0.9 },
}

const percent = (part: number, whole: number): string =>
  ((100 * part) / Math.max(1, whole)).toFixed(1)

function describe(outcome: BurstOutcome): Record<string, string | number> {
  const refusals = Object.entries(outcome.refusals).map(
    ([reason, n]) => `${Reason[Number(reason)]} ${n}`,
  )
  return {
    jobs: outcome.offered,
    'admitted %': percent(outcome.admitted, outcome.offered),
    'singles admitted %': percent(outcome.admittedSingles, outcome.offeredSingles),
    'light callers admitted %': percent(
      outcome.admittedFromLightCallers,
      outcome.offeredByLightCallers,
    ),
    'late of admitted %': percent(outcome.late, outcome.admitted),
    'too long %': percent(outcome.tooLong, outcome.admitted),
    'slots busy %': percent(outcome.busyShare, 1),
    'useful %': percent(outcome.usefulShare, 1),
    'retries admitted %': percent(outcome.retriesAdmitted, outcome.retries),
    refusals: refusals.join(', '),
  }
}

for (const [title, scenario] of Object.entries(scenarios)) {
  console.log(`\n${title}`)
  const rows = Object.entries(admissions).map(([name, make]) => [
    name,
    describe(new BurstSimulation(scenario, new DeadlineFairQueue<SimulatedTask>(), make).run()),
  ])
  console.table(Object.fromEntries(rows))
}
