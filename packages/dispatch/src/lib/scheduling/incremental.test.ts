/**
 * Compares the incrementally updated indexes of the scheduler with versions that recompute them.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { HealthState } from '@cherryhitch/policy'
import {
  makeEndpointCapacity,
  makeJobStep,
  makeSteppedJob,
  NoticeState,
  RouteSchema,
  EndpointNoticeSchema,
} from '@cherryhitch/protocol'
import { create } from '@bufbuild/protobuf'
import fc from 'fast-check'
import { DispatchCore } from '../DispatchCore'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { Job, TaskState } from '../jobs/Job'
import type { Task } from '../jobs/Job'
import type { Run } from '../runs/Run'
import { EndpointIndex } from './EndpointIndex'
import { JobQueue } from './JobQueue'
import { LeastSlackPolicy } from './QueuePolicy'
import { SlotForecast, addFreeSlots, makeFreeSlotsByMs } from './SlotForecast'

const SERVICE = 'tracing'
const ROUTE = create(RouteSchema, { name: 'r', service: SERVICE, stretch: 1.6, targetMs: 60 })
const FIT_WEIGHT = 0.1

function makeJob(id: string, cpuMillis: number, tasks: number, arrivedAt: number, runMs = 60): Job {
  const needs = makeEndpointCapacity(cpuMillis, 64, 0)
  const step = makeJobStep({
    count: tasks,
    needs,
    estimateMs: runMs,
    dependsOn: [],
    requiredLabel: '',
    dataRack: '',
    maxPerEndpoint: 0,
  })
  return new Job({
    id,
    route: ROUTE,
    spec: makeSteppedJob(id, 'p', [step]),
    arrivedAt,
    deadlineAt: arrivedAt + 1_500,
    stepMs: [runMs],
    startMarginMs: 25,
    firstRun: 0,
    isResumed: false,
  })
}

function firstTask(job: Job): Task {
  const [task] = job.tasks
  assert.ok(task !== undefined)
  return task
}

function runOf(endpoint: EndpointRecord, name: string, cpuMillis: number): Run {
  const needs = makeEndpointCapacity(cpuMillis, 64, 0)
  return { name, endpoint, needs, sentAt: 0, confirmedAt: 0, expectedMs: 100 } as Run
}

/** The endpoints that can receive tasks, found by checking each one. */
function findAvailable(now: number, core: DispatchCore): EndpointRecord[] {
  return [...core.endpoints.all()].filter((endpoint) => {
    if (endpoint.freeCapacity().cpuMillis <= 0 || !endpoint.mayStart(now)) return false
    if (core.confirmedAt < endpoint.broadcastAt) return false
    const health = core.health.state(now, endpoint.id)
    if (health === HealthState.Ejected) return false
    return health !== HealthState.Probation || endpoint.runs.size === 0
  })
}

/** The least cost of a task at any of the endpoints; Infinity when it fits nowhere. */
function leastCost(available: readonly EndpointRecord[], cpuMillis: number): number {
  const costs = available.flatMap((endpoint) => {
    const free = endpoint.freeCapacity()
    if (free.cpuMillis < cpuMillis || free.memoryMb < 64) return []
    return costOf(endpoint, cpuMillis)
  })
  return Math.min(Infinity, ...costs)
}

function costOf(endpoint: EndpointRecord, cpuMillis: number): number {
  const total = endpoint.notice.capacity?.cpuMillis ?? 1
  return 1 + FIT_WEIGHT * ((endpoint.freeCapacity().cpuMillis - cpuMillis) / total)
}

type Change = (core: DispatchCore, now: number) => void

const ids = fc.integer({ min: 0, max: 7 })
const cpus = fc.integer({ min: 1, max: 40 }).map((cores) => cores * 1_000)

function onEndpoint(id: number, change: (endpoint: EndpointRecord, now: number) => void): Change {
  return (core, now) => {
    const endpoint = core.endpoints.get(`e${id}`)
    if (endpoint !== undefined) change(endpoint, now)
  }
}

const changes: fc.Arbitrary<Change> = fc.oneof(
  fc.tuple(ids, cpus).map(([id, cpuMillis]): Change => {
    return (core, now) => {
      const notice = create(EndpointNoticeSchema, {
        endpoint: `e${id}`,
        service: SERVICE,
        address: `10.0.0.${id}:80`,
        zone: 'z',
        state: NoticeState.SERVING,
        capacity: { cpuMillis, memoryMb: 1_000 },
        sequence: Math.floor(now) + 1,
      })
      const taken = core.endpoints.applyNotice(now, notice)
      if (taken !== undefined) taken.isSynced = true
    }
  }),
  fc.tuple(ids, ids, cpus).map(([id, name, cpuMillis]) => {
    return onEndpoint(id, (endpoint) => {
      endpoint.addRun(runOf(endpoint, `t${name}`, cpuMillis))
    })
  }),
  fc.tuple(ids, ids).map(([id, name]) => {
    return onEndpoint(id, (endpoint) => {
      const run = endpoint.runs.get(`t${name}`)
      if (run !== undefined) endpoint.removeRun(run)
    })
  }),
  fc.tuple(ids, fc.integer({ min: 0, max: 2 })).map(([id, calls]) => {
    return onEndpoint(id, (endpoint) => {
      endpoint.unanswered = calls
    })
  }),
  ids.map((id) => {
    return onEndpoint(id, (endpoint, now) => {
      endpoint.pausedUntil = now + 30
    })
  }),
  ids.map((id) => {
    return onEndpoint(id, (endpoint, now) => {
      endpoint.broadcastAt = now
    })
  }),
  ids.map((id) => {
    return onEndpoint(id, (endpoint) => {
      endpoint.reset()
    })
  }),
  ids.map((id): Change => {
    return (core) => {
      const endpoint = core.endpoints.get(`e${id}`)
      if (endpoint !== undefined) core.endpoints.remove(endpoint)
    }
  }),
  fc.constant<Change>((core, now) => {
    core.confirmedAt = now
  }),
)

describe('the available endpoints', () => {
  it('are those that a check of each endpoint finds, after any changes', () => {
    fc.assert(
      fc.property(fc.array(fc.tuple(changes, cpus), { maxLength: 60 }), (steps) => {
        const core = new DispatchCore({})
        const index = new EndpointIndex(core)
        let now = 0
        for (const [change, cpuMillis] of steps) {
          now += 10
          change(core, now)
          index.refresh(now)
          const available = findAvailable(now, core)
          const { available: indexed, runEnds } = index.forService(SERVICE)
          assert.equal(indexed.size, available.length)
          const task = firstTask(makeJob('j', cpuMillis, 1, now))
          const needs = makeEndpointCapacity(cpuMillis, 64, 0)
          const picked = indexed.pick(task, needs, true)
          const cost = picked === undefined ? Infinity : costOf(picked.endpoint, cpuMillis)
          assert.equal(cost, leastCost(available, cpuMillis))
          const slots = available.reduce((sum, endpoint) => {
            return sum + Math.min(64, Math.floor(endpoint.freeCapacity().cpuMillis / cpuMillis))
          }, 0)
          assert.equal(indexed.countFreeSlots({ cpuMillis, memoryMb: 0, gpus: 0 }, Infinity), slots)
          const counted = [...core.endpoints.all()].filter(({ unanswered }) => unanswered < 2)
          assert.equal(
            runEnds.size,
            counted.reduce((sum, { runs }) => sum + runs.size, 0),
          )
        }
      }),
    )
  })
})

describe('the queue of a service', () => {
  it('has the order that sorting by rank gives, after any changes', () => {
    const order = new LeastSlackPolicy()
    const steps = fc.array(
      fc.record({
        job: fc.integer({ min: 0, max: 9 }),
        task: fc.integer({ min: 0, max: 2 }),
        state: fc.constantFrom(TaskState.Waiting, TaskState.Placed, TaskState.Done),
        passMs: fc.integer({ min: 0, max: 40 }),
      }),
      { maxLength: 80 },
    )
    fc.assert(
      fc.property(steps, (moves) => {
        const jobs = Array.from({ length: 10 }, (_, n) => {
          return makeJob(`j${n}`, (n + 1) * 1_000, 3, 5 * n, 30 + 20 * n)
        })
        const queue = new JobQueue()
        const put = (at: number, n: number): void => {
          const job = jobs[n]
          if (job === undefined) return
          if (job.waiting.length === 0) queue.delete(job)
          else {
            const rank = order.rank(at, job)
            queue.set(job, { rank, arrival: n, rankValidUntil: order.rankValidUntil(at, job) })
          }
        }
        let now = 0
        for (const n of jobs.keys()) put(now, n)
        for (const { job: n, task, state, passMs } of moves) {
          now += passMs
          const job = jobs[n]
          const moved = job?.tasks[task]
          if (job === undefined || moved === undefined) continue
          job.setTaskState(moved, state)
          put(now, n)
          for (const overdue of queue.jobsWithExpiredRank(now)) put(now, jobs.indexOf(overdue))
          const waiting = jobs.filter((one) => one.waiting.length > 0)
          const sorted = waiting.sort((a, b) => order.rank(now, a) - order.rank(now, b))
          assert.deepEqual(
            queue.ranked.map(({ id }) => id),
            sorted.map(({ id }) => id),
          )
          const tasks = sorted.flatMap((one) => one.waiting)
          assert.equal(queue.waitingTasks, tasks.length)
          const cpu = tasks.map((one) => one.job.step(one).needs?.cpuMillis ?? 0)
          assert.equal(queue.minCpuMillis, Math.min(Infinity, ...cpu))
          const mean = cpu.reduce((sum, one) => sum + one, 0) / Math.max(1, cpu.length)
          assert.ok(Math.abs(queue.meanNeeds.cpuMillis - mean) < 1e-6)
        }
      }),
    )
  })
})

describe('the slot forecast', () => {
  it('assigns each task the slot that becomes free first', () => {
    const frees = fc.array(fc.integer({ min: 0, max: 500 }), { maxLength: 30 })
    const runs = fc.array(fc.integer({ min: 1, max: 300 }), { maxLength: 60 })
    fc.assert(
      fc.property(frees, runs, (freeAt, runMs) => {
        const freeByMs = makeFreeSlotsByMs()
        for (const ms of freeAt) addFreeSlots(freeByMs, ms, 1)
        const forecast = new SlotForecast()
        forecast.reset([{ freeByMs, slowness: 1 }])
        const slots = [...freeAt]
        for (const ms of runMs) {
          slots.sort((a, b) => a - b)
          const first = slots.shift() ?? Infinity
          assert.equal(forecast.take(ms), first)
          if (first !== Infinity) slots.push(first + ms)
        }
      }),
    )
  })
})
