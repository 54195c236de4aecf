/**
 * Benchmarks the coordinator state machine: CPU time per job and per task, and memory per job in
 * flight. Run it with `node --expose-gc --import tsx`.
 */
import { create } from '@bufbuild/protobuf'
import type { InstanceView } from '@cherryhitch/model'
import type { TaskReport } from '@cherryhitch/protocol'
import {
  AdmissionRule,
  InstanceState,
  JobSpecSchema,
  Outcome,
  PresetDefinitionSchema,
  ServiceSummarySchema,
  TaskReportSchema,
  TaskReportsSchema,
} from '@cherryhitch/protocol'
import { CoordinatorActionKind } from '../CoordinatorAction'
import type { CoordinatorAction } from '../CoordinatorAction'
import { CoordinatorEventKind } from '../CoordinatorEvent'
import { CoordinatorMachine } from '../CoordinatorMachine'

const SERVICES = 4
const OWNERS = 7
/** High enough that admission refuses no job. */
const SLOTS_PER_OWNER = 100_000
const US_PER_MS = 1000
const WARM_UP_SHARE = 0.3
const TICK_EVERY_JOBS = 20
/** Number of jobs kept in flight during the measurement of speed. */
const IN_FLIGHT = 200
const MEMORY_JOBS = 2000

const preset = create(PresetDefinitionSchema, {
  name: 'bench',
  jobsInFlightPerInstance: 1_000_000,
  queuedTasksPerSlot: 1_000_000,
  callerQueueShare: 1,
  retryBudget: 0.1,
  admissionRule: AdmissionRule.PREDICTED_FINISH,
  ownerShards: 1,
})

function makeMembers(now: number): readonly InstanceView[] {
  return Array.from({ length: OWNERS }, (_, i) => ({
    instance: `a${i}`,
    boot: 1,
    zone: `z${i % 3}`,
    state: InstanceState.SERVING,
    alive: true,
    self: i === 0,
    services: Array.from({ length: SERVICES }, (_each, service) =>
      create(ServiceSummarySchema, {
        service: `s${service}`,
        endpoints: 5,
        slots: SLOTS_PER_OWNER,
        freeSlots: SLOTS_PER_OWNER,
        meanRunMs: 300,
      }),
    ),
    heardAt: now,
    roundTripMs: 1,
    endpointAddress: '',
    settingsVersion: 1,
  }))
}

function makeMachine(now: number): CoordinatorMachine {
  const machine = new CoordinatorMachine({ instance: 'a0', zone: 'z0', boot: 1, preset })
  machine.step(now, { kind: CoordinatorEventKind.Members, members: makeMembers(now) })
  return machine
}

function submit(machine: CoordinatorMachine, now: number, n: number, tasks: number) {
  const job = create(JobSpecSchema, {
    caller: `caller${n % 8}`,
    deadlineInMs: 10_000,
    tasks: Array.from({ length: tasks }, (_, i) => ({
      service: `s${i % SERVICES}`,
      payload: '{"policy":"KT-1182-0031"}',
    })),
  })
  const requestId = `r${n}`
  return machine.step(now, {
    kind: CoordinatorEventKind.Submit,
    requestId,
    job,
    respondAsync: false,
  })
}

/** Success reports of all owners on the tasks that a step placed. */
function reportsOn(actions: readonly CoordinatorAction[]): { from: string; value: ReportsOf }[] {
  return actions.flatMap((action) => {
    if (action.kind !== CoordinatorActionKind.Send) return []
    const { body } = action.envelope
    if (body.case !== 'placeTasks') return []
    const reports = body.value.tasks.map(({ index }): TaskReport =>
      create(TaskReportSchema, { index, outcome: Outcome.SUCCEEDED, output: '1', runMs: 300 }),
    )
    const value = create(TaskReportsSchema, { jobs: [{ jobId: body.value.jobId, reports }] })
    return [{ from: action.to, value }]
  })
}

type ReportsOf = ReturnType<typeof create<typeof TaskReportsSchema>>

/** Time per job in µs, with other jobs in flight; only calls of the machine are timed. */
function measureSpeed(jobs: number, tasks: number): number {
  let now = 1_000_000
  const machine = makeMachine(now)
  const waiting: { from: string; value: ReportsOf }[][] = []
  const warmUp = Math.floor(jobs * WARM_UP_SHARE)
  let spentMs = 0
  for (let n = 0; n < jobs + warmUp; n++) {
    if (n === warmUp) spentMs = 0
    now += 1
    let start = performance.now()
    const placed = submit(machine, now, n, tasks)
    spentMs += performance.now() - start
    waiting.push(reportsOn(placed))
    const reports = waiting.length > IN_FLIGHT ? waiting.shift() : undefined
    start = performance.now()
    for (const { from, value } of reports ?? []) {
      const message = { case: 'taskReports', value } as const
      machine.step(now, { kind: CoordinatorEventKind.Message, from, message })
    }
    if (n % TICK_EVERY_JOBS === 0) machine.tick(now)
    spentMs += performance.now() - start
    if (n % (TICK_EVERY_JOBS * 10) !== 0) continue
    machine.step(now, { kind: CoordinatorEventKind.Members, members: makeMembers(now) })
  }
  if (machine.counters.refused > 0) throw new Error('jobs were refused')
  return (spentMs * US_PER_MS) / jobs
}

function heapBytes(): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

function measureMemory(tasks: number): number {
  const machine = makeMachine(1_000_000)
  const before = heapBytes()
  for (let n = 0; n < MEMORY_JOBS; n++) submit(machine, 1_000_000, n, tasks)
  const perJob = (heapBytes() - before) / MEMORY_JOBS
  if (machine.jobsInFlight !== MEMORY_JOBS) throw new Error('jobs were refused')
  return perJob
}

const runs: readonly (readonly [jobs: number, tasks: number])[] = [
  [20_000, 1],
  [10_000, 8],
  [1500, 120],
]
for (const [jobs, tasks] of runs) {
  const perJob = measureSpeed(jobs, tasks)
  const perTask = (perJob / tasks).toFixed(2)
  const bytes = Math.round(measureMemory(tasks))
  console.log(`${tasks} tasks: ${perJob.toFixed(1)} µs a job, ${perTask} a task, ${bytes} B a job`)
}
