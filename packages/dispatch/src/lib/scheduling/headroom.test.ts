/** Guards what jobs beyond the share of their queue, and late ones, leave free for others. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { HealthState } from '@cherryhitch/policy'
import {
  makeEndpointCapacity,
  makeJobStep,
  makeSteppedJob,
  RouteSchema,
} from '@cherryhitch/protocol'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { DispatchCore } from '../DispatchCore'
import { Job, TaskState } from '../jobs/Job'
import type { Task } from '../jobs/Job'
import type { RunTracker } from '../runs/RunTracker'
import { AvailableEndpoints } from './AvailableEndpoints'
import type { EndpointIndex } from './EndpointIndex'
import { ForecastAdmission } from './ForecastAdmission'
import { freeCpuMillisOf } from './freeCpuMillisOf'
import { SlotSupply } from './JobAdmission'
import type { AdmissionDecision, AdmissionInput } from './JobAdmission'
import { JobQueue } from './JobQueue'
import { LateOutcomes } from './LateOutcomes'
import { PriorityShares } from './QueueShares'
import { QueueUsage } from './QueueUsage'
import type { QueueLoad } from './QueueUsage'
import type { ServiceEndpoints } from './ServiceEndpoints'
import { addFreeSlots, makeFreeSlotsByMs } from './SlotForecast'
import { TaskPlacer } from './TaskPlacer'

function fakeEndpoint(cpuMillis: number, isSynced = true): EndpointRecord {
  const capacity = { cpuMillis, memoryMb: 1_000, gpus: 0 }
  const notice = { capacity, labels: [] }
  const fake = { isSynced, notice, runs: new Map(), freeCapacity: () => capacity }
  return fake as unknown as EndpointRecord
}

function availableOf(...cpuMillis: readonly number[]): AvailableEndpoints {
  const available = new AvailableEndpoints()
  for (const free of cpuMillis) {
    available.set({ endpoint: fakeEndpoint(free), slowness: 1, health: HealthState.Healthy })
  }
  return available
}

interface JobShape {
  readonly tasks?: number
  readonly priority?: number
  readonly arrivedAt?: number
  readonly memoryMb?: number
}

/** A job of 100 ms, which is in time by 220 ms and of use until 645 ms. */
function makeJob(id: string, shape: JobShape = {}): Job {
  const { tasks = 1, priority = 2, arrivedAt = 0, memoryMb = 64 } = shape
  const needs = makeEndpointCapacity(1_000, memoryMb, 0)
  const step = { count: tasks, needs, estimateMs: 100, dependsOn: [] }
  const rest = { requiredLabel: '', dataRack: '', maxPerEndpoint: 0 }
  return new Job({
    id,
    route: create(RouteSchema, { name: 'r', service: 's', stretch: 1.6, targetMs: 60, priority }),
    spec: makeSteppedJob(id, 'p', [makeJobStep({ ...step, ...rest })]),
    arrivedAt,
    deadlineAt: 1_500,
    stepMs: [100],
    startMarginMs: 25,
    firstRun: 0,
    isResumed: false,
  })
}

/** Slots that become free at once; counting of free ones stops when enough are found. */
class FreeSlots extends SlotSupply {
  constructor(
    override readonly size: number,
    private readonly afterMs = 0,
  ) {
    super()
  }

  override countFree(enough: number): number {
    return this.afterMs === 0 ? Math.min(enough, this.size) : 0
  }

  override freeByMs(enough: number): Int32Array {
    const freeByMs = makeFreeSlotsByMs()
    const slots = this.afterMs === 0 ? this.countFree(enough) : this.size
    addFreeSlots(freeByMs, this.afterMs, slots)
    return freeByMs
  }
}

function decide(ranked: readonly Job[], input: Partial<AdmissionInput>): AdmissionDecision {
  return new ForecastAdmission({ lateOutcomes: new LateOutcomes() }).decide(0, {
    ranked,
    undecided: ranked.filter(({ isAdmitted }) => !isAdmitted),
    waitingTasks: ranked.reduce((sum, { waiting }) => sum + waiting.length, 0),
    slots: new FreeSlots(10),
    beyondShare: new Map(),
    headroomSlots: () => 0,
    isReview: true,
    ...input,
  })
}

function idsOf(decision: AdmissionDecision): readonly (readonly string[])[] {
  const { admitted, late, refused } = decision
  return [admitted, late, refused.map(({ job }) => job)].map((jobs) => jobs.map(({ id }) => id))
}

describe('admission of a job beyond the share of its queue', () => {
  it('refuses it if too few slots are free besides those it leaves', () => {
    const job = makeJob('j')
    const beyondShare = new Map([[job, 0]])
    assert.deepEqual(idsOf(decide([job], { beyondShare, headroomSlots: () => 10 }))[2], ['j'])
  })

  it('admits it if enough slots are free besides those it leaves', () => {
    const job = makeJob('j')
    const beyondShare = new Map([[job, 0]])
    assert.deepEqual(idsOf(decide([job], { beyondShare, headroomSlots: () => 9 }))[0], ['j'])
  })
})

describe('admission beside a late job', () => {
  it('expects the later tasks of one in progress to need no headroom', () => {
    const job = makeJob('late', { tasks: 2 })
    const [first] = job.tasks
    if (first !== undefined) job.setTaskState(first, TaskState.Done)
    job.isAdmitted = true
    job.serveLate(0)
    const next = makeJob('next')
    next.isAdmitted = true
    next.serveLate(0)
    const slots = new FreeSlots(1)
    // The second job follows in the slot of the first, as no slot has to stay free.
    const headroomSlots = (one: Job): number => (one === job ? 1 : 0)
    assert.deepEqual(idsOf(decide([job, next], { slots, headroomSlots }))[2], [])
  })
})

describe('late service of a job that falls behind', () => {
  for (const [what, headroom, expected] of [
    ['is refused if its queue leaves all slots to others', 4, [[], [], ['j']]],
    ['is accepted if a slot is left besides', 3, [[], ['j'], []]],
  ] as const) {
    it(what, () => {
      const job = makeJob('j', { arrivedAt: -200 })
      job.isAdmitted = true
      const slots = new FreeSlots(4, 30)
      assert.deepEqual(idsOf(decide([job], { slots, headroomSlots: () => headroom })), expected)
    })
  }
})

describe('the free CPU of a service', () => {
  it('is that of its endpoints, whatever the waiting tasks need', () => {
    const available = availableOf(3_000, 500)
    const endpoint = fakeEndpoint(8_000)
    available.set({ endpoint, slowness: 1, health: HealthState.Probation })
    const expected = new Set([fakeEndpoint(2_000), fakeEndpoint(4_000, false)])
    assert.equal(freeCpuMillisOf({ available, expected }), 3_500 + 2_000)
  })
})

describe('shares of queues whose priorities are far apart', () => {
  it('are finite, and smaller for less urgent queues', () => {
    const load = { placedCpuMillis: 0, waitingCpuMillis: 50_000, meanCpuMillis: 50_000 }
    const queues = new Map<string, QueueLoad>()
    const priorities = [7, 5_000, 2 ** 32 - 1]
    for (const priority of priorities) queues.set(`r${priority}`, { ...load, priority })
    const { shares } = new PriorityShares().order({ ranked: [], queues, capacityCpuMillis: 10_000 })
    const own = priorities.map((priority) => shares.get(`r${priority}`)?.shareCpuMillis ?? 0)
    const [most = 0, middle = 0, least = 0] = own
    assert.ok(most < 10_000 && middle < most && least < middle && least > 0, own.join(' '))
  })
})

/** Places jobs of a queue with the given headroom; returns the ids of those in progress after it. */
function placedOf(
  jobs: readonly Job[],
  freeCpuMillis: number,
  headroomCpuMillis: number,
): string[] {
  const available = availableOf(freeCpuMillis)
  const counters = { endpoints_visited: 0 }
  const core = { counters, isEnabled: () => false, emit: () => undefined, slownessOf: () => 1 }
  const start = (_now: number, task: Task, endpoint: EndpointRecord): boolean => {
    const free = endpoint.freeCapacity() as { cpuMillis: number }
    free.cpuMillis -= 1_000
    available.set({ endpoint, slowness: 1, health: HealthState.Healthy })
    task.job.setTaskState(task, TaskState.Placed)
    return true
  }
  const queue = new JobQueue()
  const position = { rank: 0, arrival: 0, rankValidUntil: Infinity }
  for (const job of jobs) queue.set(job, position)
  const share = { shareCpuMillis: 0, usedCpuMillis: 0, headroomCpuMillis }
  const ordered = {
    ranked: jobs,
    beyondShare: new Map(jobs.map((job) => [job, 0])),
    shares: new Map([['r', share]]),
  }
  const placer = new TaskPlacer(
    core as unknown as DispatchCore,
    { start } as unknown as RunTracker,
    { refreshChanged: () => undefined } as unknown as EndpointIndex,
  )
  const endpoints = { available, expected: new Set(), isUneven: false }
  placer.place(0, queue, ordered, endpoints as unknown as ServiceEndpoints)
  return jobs.filter(({ isInProgress }) => isInProgress).map(({ id }) => id)
}

describe('placement of jobs beyond the share of their queue', () => {
  it('starts them only as far as they leave the headroom', () => {
    const jobs = ['a', 'b', 'c'].map((id) => makeJob(id))
    assert.deepEqual(placedOf(jobs, 4_000, 2_000), ['a', 'b'])
  })

  it('counts no CPU for a job that fits nowhere', () => {
    const jobs = [makeJob('large', { tasks: 2, memoryMb: 5_000 }), makeJob('b')]
    assert.deepEqual(placedOf(jobs, 4_000, 2_000), ['b'])
  })

  it('starts the later tasks of a job in progress without headroom', () => {
    const job = makeJob('j', { tasks: 2 })
    const [first] = job.tasks
    if (first !== undefined) job.setTaskState(first, TaskState.Done)
    placedOf([job], 1_000, 2_000)
    assert.equal(job.waiting.length, 0)
  })
})

describe('the use of a queue whose priority changes', () => {
  it('has the priority of its newest job', () => {
    const usage = new QueueUsage()
    const old = makeJob('old', { priority: 2 })
    usage.set(0, old)
    usage.set(10, makeJob('new', { priority: 0, arrivedAt: 10 }))
    for (const task of old.tasks) old.setTaskState(task, TaskState.Placed)
    usage.set(20, old)
    assert.equal(usage.queues(20).get('r')?.priority, 0)
  })
})
