/** Guards late service and shares by priority: who is served when slots are short. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { Mechanism } from '@cherryhitch/model'
import {
  JobVerdict,
  makeEndpointCapacity,
  makeJobStep,
  makeSteppedJob,
  RouteSchema,
} from '@cherryhitch/protocol'
import { Job, TaskState } from '../jobs/Job'
import { playLoad } from '../soak/playLoad'
import type { LoadOptions, LoadOutcome } from '../soak/playLoad'
import { ForecastAdmission } from './ForecastAdmission'
import { SlotSupply } from './JobAdmission'
import type { AdmissionDecision } from './JobAdmission'
import { LateOutcomes } from './LateOutcomes'
import { PriorityShares } from './QueueShares'
import { QueueUsage } from './QueueUsage'
import { addFreeSlots, makeFreeSlotsByMs } from './SlotForecast'

const SEEDS = [1, 2, 3]
const BOTH = [Mechanism.PriorityShares, Mechanism.LateService]
/** Short, long and small jobs; the long ones are the least urgent. */
const PRIORITIES = [0, 2, 1]
const LONG = 1
const BURST = { kind: LONG, factor: 2.5, fromMs: 2_000, forMs: 4_000 }

function simulate(options: LoadOptions): readonly LoadOutcome[] {
  return SEEDS.map((seed) => playLoad({ ...options, seed }))
}

function meanOf(outcomes: readonly LoadOutcome[], of: (outcome: LoadOutcome) => number): number {
  return outcomes.reduce((sum, outcome) => sum + of(outcome), 0) / outcomes.length
}

/** Share in time of the jobs that arrive during a burst and aren't of its kind. */
function othersInTime({ jobs }: LoadOutcome): number {
  const { fromMs, forMs } = BURST
  const others = jobs.filter(({ kind, atMs }) => {
    return kind !== LONG && atMs >= fromMs && atMs < fromMs + forMs
  })
  return others.filter(({ inTime }) => inTime).length / others.length
}

function makeJob(id: string, priority: number, tasks: number, runMs = 100): Job {
  const needs = makeEndpointCapacity(1_000, 64, 0)
  const step = { count: tasks, needs, estimateMs: runMs, dependsOn: [] }
  const rest = { requiredLabel: '', dataRack: '', maxPerEndpoint: 0 }
  const name = `r${priority}`
  return new Job({
    id,
    route: create(RouteSchema, { name, service: 's', stretch: 1.6, targetMs: 60, priority }),
    spec: makeSteppedJob(id, 'p', [makeJobStep({ ...step, ...rest })]),
    arrivedAt: 0,
    deadlineAt: 1_500,
    stepMs: [runMs],
    startMarginMs: 25,
    firstRun: 0,
    isResumed: false,
  })
}

/** Usage of queues that had the given tasks placed for long. */
function usageOf(jobs: readonly Job[], placed: readonly Job[]): QueueUsage {
  const usage = new QueueUsage()
  for (const job of placed) for (const task of job.tasks) job.setTaskState(task, TaskState.Placed)
  for (const job of [...jobs, ...placed]) usage.set(0, job)
  usage.queues(10_000)
  return usage
}

describe('shares of queues with different priorities', () => {
  it('order jobs within the share of their queue before those beyond it', () => {
    const long = [makeJob('l1', 2, 4), makeJob('l2', 2, 4)]
    const urgent = makeJob('u', 0, 2)
    const usage = usageOf([...long, urgent], [makeJob('l0', 2, 10), makeJob('u0', 0, 2)])
    const ranked = [...long, urgent]
    const queues = usage.queues(10_000)
    const ordered = new PriorityShares().order({ ranked, queues, capacityCpuMillis: 12_000 })
    assert.deepEqual(
      ordered.ranked.map(({ id }) => id),
      ['u', 'l1', 'l2'],
    )
    assert.deepEqual([...ordered.beyondShare.keys()], long)
    const waits = [...ordered.beyondShare.values()]
    assert.ok((waits[1] ?? 0) > (waits[0] ?? 0), 'the later of two has to wait longer')
  })

  it('leave the least urgent queue its weighted share, however much the others demand', () => {
    const usage = usageOf([makeJob('u', 0, 100), makeJob('l', 2, 100)], [makeJob('u0', 0, 20)])
    const queues = usage.queues(10_000)
    const { shares } = new PriorityShares().order({ ranked: [], queues, capacityCpuMillis: 20_000 })
    assert.equal(shares.get('r2')?.shareCpuMillis, 20_000 / 5)
  })

  it('change nothing while there is room for all queues', () => {
    const ranked = [makeJob('l', 2, 4), makeJob('u', 0, 4)]
    const queues = usageOf(ranked, []).queues(10_000)
    const ordered = new PriorityShares().order({ ranked, queues, capacityCpuMillis: 20_000 })
    assert.equal(ordered.ranked, ranked)
    assert.equal(ordered.beyondShare.size + ordered.shares.size, 0)
  })

  it('forget queues without jobs', () => {
    const job = makeJob('u', 0, 4)
    const usage = usageOf([job], [])
    usage.delete(10_000, job)
    assert.equal(usage.queues(30_000).size, 0)
  })
})

/** Slots that become free at given times. */
class FakeSlots extends SlotSupply {
  constructor(private readonly freeAfterMs: readonly number[]) {
    super()
  }

  override get size(): number {
    return this.freeAfterMs.length
  }

  override countFree(): number {
    return this.freeAfterMs.filter((ms) => ms === 0).length
  }

  override freeByMs(): Int32Array {
    const freeByMs = makeFreeSlotsByMs()
    for (const ms of this.freeAfterMs) addFreeSlots(freeByMs, ms, 1)
    return freeByMs
  }
}

/** Decides on jobs of 100 ms, which are in time by 220 ms and of use until 645 ms. */
function decide(jobs: readonly Job[], freeAfterMs: readonly number[], now = 0): AdmissionDecision {
  return new ForecastAdmission({ lateOutcomes: new LateOutcomes() }).decide(now, {
    ranked: jobs,
    undecided: jobs.filter(({ isAdmitted }) => !isAdmitted),
    waitingTasks: jobs.reduce((sum, { waiting }) => sum + waiting.length, 0),
    slots: new FakeSlots(freeAfterMs),
    beyondShare: new Map(),
    headroomSlots: () => 0,
    isReview: true,
  })
}

function lateJob(id: string): Job {
  const job = makeJob(id, 0, 1)
  job.isAdmitted = true
  job.serveLate(0)
  return job
}

describe('late service', () => {
  it('admits no job as late that the forecast does not serve in useful time with a margin', () => {
    const slots = Array.from({ length: 8 }, () => 400)
    const [job] = decide([makeJob('j', 0, 1)], slots).refused
    assert.equal(job?.job.id, 'j')
  })

  it('refuses no job that can be of use in a slot that no other job can use in time', () => {
    const job = makeJob('j', 0, 1)
    // It has fallen behind: its latest start is over.
    job.isAdmitted = true
    const { late, refused } = decide(
      [job],
      Array.from({ length: 8 }, () => 30),
      200,
    )
    assert.deepEqual([late, refused], [[job], []])
  })

  it('refuses a late job as soon as it is hopeless, but not one that can still be of use', () => {
    // The second gets the slot of the first after its run, the third that of the second.
    const jobs = ['useful', 'last useful', 'hopeless'].map(lateJob)
    const { refused } = decide(jobs, [300, 900], 100)
    assert.deepEqual(
      refused.map(({ job }) => job.id),
      ['hopeless'],
    )
  })

  it('ends while most late jobs are given up, and is tried again later', () => {
    const outcomes = new LateOutcomes()
    for (let i = 0; i < 10; i++) outcomes.note(0, 's', JobVerdict.REFUSED)
    assert.ok(outcomes.servedShare(0, 's') < 0.5)
    assert.ok(outcomes.servedShare(10_000, 's') > 0.5)
  })

  it('goes on for other services, and despite jobs that were cancelled or that failed', () => {
    const outcomes = new LateOutcomes()
    for (let i = 0; i < 10; i++) {
      outcomes.note(0, 'other', JobVerdict.REFUSED)
      outcomes.note(0, 's', JobVerdict.CANCELLED)
      outcomes.note(0, 's', JobVerdict.FAILED)
    }
    for (let i = 0; i < 5; i++) outcomes.note(0, 's', JobVerdict.UNKNOWN)
    assert.equal(outcomes.servedShare(0, 's'), 12 / 17)
  })
})

describe('a service whose queues compete', () => {
  it('serves the other queues in time during a burst of the least urgent one', () => {
    const options = { load: 0.9, burst: BURST, priorities: PRIORITIES }
    const shares = simulate(options)
    const without = simulate({ ...options, without: [Mechanism.PriorityShares] })
    const inTime = meanOf(shares, othersInTime)
    assert.ok(inTime > 0.9, `${inTime} in time`)
    assert.ok(inTime > meanOf(without, othersInTime) + 0.08)
    const ofLong = meanOf(shares, ({ inTimeByKind }) => inTimeByKind[LONG] ?? 0)
    assert.ok(ofLong > 0.4, `${ofLong} of the least urgent queue in time`)
  })

  it('refuses fewer jobs late with late service at 1.2, and serves no fewer in time', () => {
    const late = simulate({ load: 1.2 })
    const without = simulate({ load: 1.2, without: [Mechanism.LateService] })
    const refusedLate = (outcome: LoadOutcome): number => outcome.refusedLate + outcome.unserved
    const inTime = (outcome: LoadOutcome): number => outcome.inTime
    assert.ok(meanOf(late, refusedLate) < meanOf(without, refusedLate))
    assert.ok(meanOf(late, inTime) > meanOf(without, inTime) - 0.01)
  })

  it('breaks no rule when the leader is lost and orders come late during an overload', () => {
    const takeover = { atMs: 3_000, gapMs: 300 }
    const options = { load: 1.5, priorities: PRIORITIES, lateOrder: 0.02, takeover }
    assert.deepEqual(
      simulate(options).flatMap(({ violations }) => violations),
      [],
    )
  })

  for (const [what, options] of [
    ['equal priorities', { load: 0.6 }],
    ['different priorities', { load: 0.6, priorities: PRIORITIES }],
  ] as const) {
    it(`decides as without shares and late service, for ${what} and no overload`, () => {
      const [today, built] = [simulate({ ...options, without: BOTH }), simulate(options)]
      assert.deepEqual(
        built.map(({ jobs, counted }) => ({ jobs, starts: counted.starts })),
        today.map(({ jobs, counted }) => ({ jobs, starts: counted.starts })),
      )
    })
  }
})
