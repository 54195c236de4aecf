/**
 * Benchmark of the processor time of scheduling decisions. Run with
 * `npx tsx packages/policy/src/lib/bench/costBench.ts`.
 */
import { performance } from 'node:perf_hooks'
import { PredictedFinishAdmission } from '../admission/PredictedFinishAdmission'
import { LearnedEstimator } from '../estimates/LearnedEstimator'
import { DecayedScoreHealth } from '../health/DecayedScoreHealth'
import { HealthFailure } from '../health/EndpointHealth'
import type { EndpointHealth } from '../health/EndpointHealth'
import { DeadlineFairQueue } from '../order/DeadlineFairQueue'
import { FifoQueue } from '../order/FifoQueue'
import type { QueuedTask, TaskQueue } from '../order/TaskQueue'
import { SlownessTracker } from '../placement/SlownessTracker'
import { SpreadFastPicker } from '../placement/SpreadFastPicker'
import { MeasuredWaitRouter } from '../routing/MeasuredWaitRouter'
import type { OwnerOffer, RoutedTask } from '../routing/OwnerRouter'
import { seededRandom } from '@cherryhitch/model'

const ROUNDS = 5
const JOB_TASKS = 10

/** Time per call in the fastest round, in microseconds. */
function cost(calls: number, call: (index: number) => void): string {
  let best = Infinity
  for (let round = 0; round < ROUNDS; round++) {
    const start = performance.now()
    for (let index = 0; index < calls; index++) call(round * calls + index)
    best = Math.min(best, performance.now() - start)
  }
  return ((best * 1000) / calls).toFixed(2)
}

const random = seededRandom(1)

function createTask(number: number): QueuedTask {
  return {
    taskId: `t${number}`,
    jobId: `j${Math.floor(number / JOB_TASKS)}`,
    caller: `c${number % 50}`,
    service: 's',
    deadlineAt: number + 30_000,
    enqueuedAt: number,
    estimateMs: 50 + 500 * random(),
    jobRemaining: JOB_TASKS,
    resources: undefined,
    attempt: 0,
  }
}

function queueCost(make: () => TaskQueue<QueuedTask>, queued: number): Record<string, string> {
  const calls = 20_000
  const queue = make()
  const waiting = Array.from({ length: calls * ROUNDS + queued }, (_, number) => createTask(number))
  for (const queuedTask of waiting.slice(0, queued)) queue.push(0, queuedTask)
  const pushPop = cost(calls, (index) => {
    const next = waiting[queued + index]
    if (next !== undefined) queue.push(index, next)
    queue.pop(index, () => true)
  })
  const popWithoutFit = cost(200, () => queue.pop(0, () => false))
  const sizeOf = cost(1000, (index) => queue.sizeOf(`c${index % 50}`))
  return { 'push and pop': pushPop, 'pop, nothing fits': popWithoutFit, sizeOf }
}

console.log('\nqueues, µs')
const queueRows: Record<string, Record<string, string>> = {}
for (const queued of [100, 1000, 10_000, 50_000]) {
  queueRows[`first come, ${queued} queued`] = queueCost(() => new FifoQueue(), queued)
  queueRows[`due time, ${queued} queued`] = queueCost(() => new DeadlineFairQueue(), queued)
}
console.table(queueRows)

const offers: OwnerOffer[] = Array.from({ length: 7 }, (_, index) => ({
  instance: `i${index}`,
  zone: `z${index % 3}`,
  service: 's',
  slots: 40,
  freeSlots: index,
  queuedTasks: 10 * index,
  waitMs: 20 * index,
  meanRunMs: 275,
  largest: undefined,
  roundTripMs: 3,
  unreported: 3,
}))
const createTasks = (count: number): RoutedTask[] =>
  Array.from({ length: count }, (_, index) => ({
    index,
    service: 's',
    estimateMs: 50 + 500 * random(),
    resources: undefined,
  }))

const single = createTasks(1)
const large = createTasks(120)
const router = new MeasuredWaitRouter()
const admission = new PredictedFinishAdmission()
const decide = (tasks: readonly RoutedTask[], now: number) =>
  admission.decide(now, {
    caller: 'c',
    tasks,
    deadlineAt: now + 30_000,
    offers,
    jobsInFlight: 10,
    callerTasksInFlight: 10,
    tasksInFlight: 100,
    activeCallers: 10,
    callerWeight: 1,
    instances: 7,
  })

const estimator = new LearnedEstimator()
const slowness = new SlownessTracker()
const picker = new SpreadFastPicker()
const health: EndpointHealth = new DecayedScoreHealth()
const endpoints = Array.from({ length: 33 }, (_, index) => `e${index}`)
for (const endpoint of endpoints) health.add(endpoint, 's')
const endpointAt = (index: number): string => endpoints[index % endpoints.length] ?? ''
const candidates = endpoints.slice(0, 11).map((endpoint, index) => ({
  endpoint,
  rack: `r${index % 3}`,
  slots: 8,
  busySlots: index % 8,
  slowness: 1 + index / 20,
  sameJobHere: index % 2,
  sameJobInRack: index % 3,
}))
const sampleTask = createTask(1)

console.log('\ndecisions, µs')
console.table({
  'assign 1 task to 7 offers': cost(20_000, (now) => router.assign(now, 'z0', single, offers)),
  'assign 120 tasks to 7 offers': cost(500, (now) => router.assign(now, 'z0', large, offers)),
  'admit a job of 1 task': cost(20_000, (now) => decide(single, now)),
  'admit a job of 120 tasks': cost(500, (now) => decide(large, now)),
  'pick one of 11 endpoints': cost(20_000, (now) => picker.pick(now, sampleTask, candidates)),
  'record a run and read slowness': cost(20_000, (now) => {
    const endpoint = endpointAt(now)
    slowness.observe(now / 10, { endpoint, service: 's', estimateMs: 200, runMs: 220 })
    slowness.slowness(now / 10, endpoint)
  }),
  'estimate and learn': cost(20_000, (now) => {
    const subject = { caller: `c${now % 500}`, service: 's', declaredMs: 200 }
    estimator.estimate(subject)
    estimator.observe(now, subject, 300)
  }),
  'record a success': cost(20_000, (now) => {
    health.recordSuccess(now, { endpoint: endpointAt(now), service: 's', jobId: `j${now}` }, 200)
  }),
  'record a failure': cost(20_000, (now) => {
    const observation = { endpoint: endpointAt(now), service: 's', jobId: `f${now}` }
    health.recordFailure(now, observation, HealthFailure.TaskFailed)
  }),
})
