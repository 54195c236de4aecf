/**
 * Measures admission under a burst of ten times the capacity: run with
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
  'limit of jobs': () => new QueueLimitAdmission(preset),
  'predicted finish': () => new PredictedFinishAdmission(),
  'share always binds': () => new PredictedFinishAdmission({ contentionThreshold: 0 }),
  'safety 2': () => new PredictedFinishAdmission({ waitSafetyFactor: 2 }),
  'returns not paced': () => new PredictedFinishAdmission({ paceRetries: false }),
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

function describe(one: BurstOutcome): Record<string, string | number> {
  const refusals = Object.entries(one.refusals).map(
    ([reason, n]) => `${Reason[Number(reason)]} ${n}`,
  )
  return {
    jobs: one.offered,
    'admitted %': percent(one.admitted, one.offered),
    'singles admitted %': percent(one.admittedSingles, one.offeredSingles),
    'light callers admitted %': percent(one.lightAdmitted, one.lightOffered),
    'late of admitted %': percent(one.late, one.admitted),
    'too long %': percent(one.tooLong, one.admitted),
    'slots busy %': percent(one.busyShare, 1),
    'useful %': percent(one.usefulShare, 1),
    'comebacks admitted %': percent(one.comebacksAdmitted, one.comebacks),
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
