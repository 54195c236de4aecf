/**
 * Measures the owner's state machine in isolation: time per task from placement to report, time per
 * tick, and memory per endpoint and per queued task.
 *
 * Run: `node --expose-gc --import tsx packages/owner/src/lib/bench/measureOwner.ts`
 */
import { create } from '@bufbuild/protobuf'
import type { PlaceTasks } from '@cherryhitch/protocol'
import {
  EndpointAnnouncementSchema,
  EndpointState,
  HealthRule,
  PlaceTasksSchema,
  PlacementRule,
  PresetDefinitionSchema,
  QueueOrder,
} from '@cherryhitch/protocol'
import { RunResultKind } from '../endpointResults'
import type { OwnerAction, RunTaskAction } from '../OwnerAction'
import { OwnerActionKind } from '../OwnerAction'
import { OwnerEventKind } from '../OwnerEvent'
import { OwnerMachine } from '../OwnerMachine'

const SERVICE = 'tracing'
const SLOTS = 8
const TASKS = 60_000
const WARM_UP_TASKS = 20_000
const PAYLOAD_LENGTH = 200
const RACK_SIZE = 8
const TRACEPARENT = `00-${'a'.repeat(32)}-${'b'.repeat(16)}-01`

interface Rules {
  readonly name: string
  readonly queueOrder: QueueOrder
  readonly placementRule: PlacementRule
  readonly healthRule: HealthRule
}

const plain: Rules = {
  name: 'baselines',
  queueOrder: QueueOrder.FIFO,
  placementRule: PlacementRule.RANDOM,
  healthRule: HealthRule.NONE,
}

const full: Rules = {
  name: 'full policies',
  queueOrder: QueueOrder.DEADLINE_FAIR,
  placementRule: PlacementRule.SPREAD_FAST,
  healthRule: HealthRule.DECAYED_SCORE,
}

/** A state machine with the given number of endpoints, and its open requests. */
class Load {
  readonly machine: OwnerMachine
  readonly open: RunTaskAction[] = []
  now = 1_000_000
  ended = 0
  private jobs = 0

  constructor(rules: Rules, endpoints: number) {
    const preset = create(PresetDefinitionSchema, { ...rules, ownerShards: 1, retryBudget: 0.1 })
    this.machine = new OwnerMachine({ instance: 'o1', zone: 'north', boot: 1, preset })
    for (let n = 0; n < endpoints; n++) this.heartbeat(n)
  }

  heartbeat(n: number): void {
    const announcement = create(EndpointAnnouncementSchema, {
      endpoint: `tracing-${n}`,
      service: SERVICE,
      zone: 'north',
      rack: `rack-${Math.floor(n / RACK_SIZE)}`,
      address: `10.0.${n >> 8}.${n & 255}:9000`,
      slots: SLOTS,
      connections: 64,
      capacity: { cores: 32, memoryMb: 64_000 },
      boot: 1,
      state: EndpointState.SERVING,
    })
    this.take(this.machine.step(this.now, { kind: OwnerEventKind.Heartbeat, announcement }))
  }

  /** Builds the message outside the measured section, as decoding is the link's work. */
  makePlacement(tasks: number): PlaceTasks {
    const payload = 'x'.repeat(PAYLOAD_LENGTH)
    return create(PlaceTasksSchema, {
      jobId: `c1.1.${(this.jobs++).toString(36)}`,
      caller: `caller-${this.jobs % 7}`,
      deadlineInMs: 600_000,
      jobRemaining: tasks,
      tasks: [...Array(tasks).keys()].map((index) => ({
        index,
        spec: { service: SERVICE, payload: `"${payload}"` },
        estimateMs: 300,
      })),
      traceparent: TRACEPARENT,
      coordinator: 'c1',
    })
  }

  place(value: PlaceTasks): void {
    const message = { case: 'placeTasks', value } as const
    const event = { kind: OwnerEventKind.Message, from: 'c1', message } as const
    this.take(this.machine.step(this.now, event))
  }

  /** Ends the oldest open request with success. */
  endOne(): boolean {
    const run = this.open.shift()
    if (run === undefined) return false
    this.ended++
    const result = {
      kind: RunResultKind.Succeeded,
      output: '"done"',
      detail: '',
      runMs: 300,
      answered: true,
    }
    const { endpoint, taskId, run: number } = run
    const event = { kind: OwnerEventKind.RunEnded, endpoint, taskId, run: number, result } as const
    this.take(this.machine.step(this.now, event))
    return true
  }

  private take(actions: readonly OwnerAction[]): void {
    for (const action of actions) {
      if (action.kind === OwnerActionKind.RunTask) this.open.push(action)
    }
  }
}

/** Microseconds per task with the given backlog of queued tasks; 0 for an empty queue. */
function measureTasks(rules: Rules, endpoints: number, perJob: number, backlog: number): number {
  const load = new Load(rules, endpoints)
  while (load.machine.tasks < backlog) load.place(load.makePlacement(perJob))
  let elapsedNs = 0n
  for (let placed = 0; placed < WARM_UP_TASKS + TASKS; placed += perJob) {
    const placement = load.makePlacement(perJob)
    const startedAt = process.hrtime.bigint()
    load.place(placement)
    for (let i = 0; i < perJob; i++) load.endOne()
    if (placed >= WARM_UP_TASKS) elapsedNs += process.hrtime.bigint() - startedAt
  }
  return Number(elapsedNs) / 1000 / TASKS
}

/** Microseconds per tick with all slots busy. */
function measureTick(endpoints: number): number {
  const load = new Load(full, endpoints)
  for (let n = 0; n < endpoints; n++) load.place(load.makePlacement(SLOTS + 1))
  const rounds = 200
  const startedAt = process.hrtime.bigint()
  for (let round = 0; round < rounds; round++) load.machine.tick(load.now + round)
  return Number(process.hrtime.bigint() - startedAt) / 1000 / rounds
}

function heapUsed(): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

/** Heap bytes per endpoint and per queued task with its message, for jobs of the given size. */
function measureMemory(perJob: number): { endpoint: number; task: number } {
  const endpoints = 1000
  const tasks = 120_000
  const before = heapUsed()
  const load = new Load(full, endpoints)
  const withEndpoints = heapUsed()
  for (let placed = 0; placed < tasks; placed += perJob) load.place(load.makePlacement(perJob))
  const withTasks = heapUsed()
  return {
    endpoint: Math.round((withEndpoints - before) / endpoints),
    task: Math.round((withTasks - withEndpoints) / load.machine.tasks),
  }
}

function main(): void {
  console.log('microseconds per task, from placement to report, one run each')
  for (const rules of [plain, full]) {
    for (const backlog of [0, 10_000]) {
      for (const endpoints of [10, 100, 1000]) {
        const times = [1, 8, 120].map((perJob) => {
          const time = measureTasks(rules, endpoints, perJob, backlog)
          return `${perJob} a job: ${time.toFixed(1)}`
        })
        const where = `${rules.name}, ${endpoints} endpoints, ${backlog} queued`
        console.log(`${where}: ${times.join(', ')}`)
      }
    }
  }
  for (const endpoints of [10, 100, 1000]) {
    const time = measureTick(endpoints).toFixed(0)
    console.log(`microseconds per tick, ${endpoints} endpoints, all busy: ${time}`)
  }
  for (const perJob of [1, 120]) {
    const { endpoint, task } = measureMemory(perJob)
    console.log(`bytes per endpoint: ${endpoint}, per queued task at ${perJob} a job: ${task}`)
  }
}

main()
