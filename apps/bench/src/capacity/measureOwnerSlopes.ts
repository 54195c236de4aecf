import type { OwnerAction, RunTaskAction } from '@cherryhitch/owner'
import {
  defaultOwnerLimits,
  OwnerActionKind,
  OwnerEventKind,
  OwnerMachine,
  RunResultKind,
} from '@cherryhitch/owner'
import { shippedPresets } from '@cherryhitch/control'
import type { PresetDefinition } from '@cherryhitch/protocol'
import { head, heldBytes, medianOf, processorUs, row, slopeOf } from './measuring'
import { instanceName, makeAnnouncement, makeMembers, makePlacement, PLACER, ZONE } from './samples'

const NOW = 1_000_000
const TASKS = 9600
const FULL_AT_ENDPOINTS = 30
const RUNNING_PER_ENDPOINT = 22

function ordinaryPreset(): PresetDefinition {
  const [preset] = shippedPresets
  if (preset === undefined) throw new Error('no preset ships')
  return { ...preset, queuedTasksPerSlot: 10_000, callerQueueShare: 1 }
}

function makeOwner(endpoints: number): OwnerMachine {
  const owner = { instance: instanceName(0), zone: ZONE, boot: 1 }
  const machine = new OwnerMachine({ ...owner, preset: ordinaryPreset() })
  hearAll(machine, endpoints, NOW)
  return machine
}

function hearAll(machine: OwnerMachine, endpoints: number, at: number): void {
  for (let n = 0; n < endpoints; n++) {
    const announcement = makeAnnouncement(n)
    machine.step(at, { kind: OwnerEventKind.Heartbeat, announcement })
  }
}

function startsIn(actions: readonly OwnerAction[]): RunTaskAction[] {
  return actions.filter((action) => action.kind === OwnerActionKind.RunTask)
}

/** Job ids must not come again, since an owner ignores what it knows. */
let jobNumber = 0
/** Moves on with each job; endpoints send a heartbeat before each pass, so none falls silent. */
let now = NOW
const MS_PER_JOB = 0.01

/** Passes tasks through, jobs of so many at a time, and counts the messages that come out. */
function passTasks(machine: OwnerMachine, perJob: number): { us: number; messages: number } {
  const jobs = Math.floor(TASKS / perJob)
  const placements = Array.from({ length: jobs }, () => makePlacement(jobNumber++, perJob))
  let messages = 0
  let runs = 0
  const open: RunTaskAction[] = []
  const take = (actions: readonly OwnerAction[]): void => {
    const starts = startsIn(actions)
    runs += starts.length
    open.push(...starts)
    messages += actions.filter((action) => action.kind === OwnerActionKind.Send).length
  }
  const us = processorUs(() => {
    for (const value of placements) {
      now += MS_PER_JOB
      const message = { case: 'placeTasks', value } as const
      take(machine.step(now, { kind: OwnerEventKind.Message, from: PLACER, message }))
      for (let run = open.pop(); run !== undefined; run = open.pop()) take(endRun(machine, run))
    }
  })
  if (runs !== jobs * perJob) throw new Error(`only ${runs} tasks ran`)
  return { us: us / (jobs * perJob), messages: messages / (jobs * perJob) }
}

function endRun(machine: OwnerMachine, run: RunTaskAction): readonly OwnerAction[] {
  const done = { output: '"done"', detail: '', runMs: 300, answered: true }
  const result = { kind: RunResultKind.Succeeded, ...done }
  const { endpoint, taskId } = run
  return machine.step(now, {
    kind: OwnerEventKind.RunEnded,
    endpoint,
    taskId,
    run: run.run,
    result,
  })
}

function measureTasks(): void {
  const columns = ['endpoints', 'tasks a job', 'memory of ended tasks', 'µs a task', 'messages out']
  head('Owner: processor per task, placement to report', ...columns)
  for (const endpoints of [10, 30, 100, 300]) {
    for (const perJob of [1, 8, 120]) {
      const machine = makeOwner(endpoints)
      const pass = (): { us: number; messages: number } => {
        hearAll(machine, endpoints, now)
        return passTasks(machine, perJob)
      }
      const { messages } = pass()
      row(
        endpoints,
        perJob,
        'filling',
        medianOf(() => pass().us),
        messages,
      )
      if (endpoints !== FULL_AT_ENDPOINTS) continue
      // More than an owner remembers, so that each end makes it forget another one.
      for (let n = 0; n < defaultOwnerLimits.rememberedTasks / TASKS; n++) pass()
      row(
        endpoints,
        perJob,
        'full',
        medianOf(() => pass().us),
        messages,
      )
    }
  }
}

function measureHeartbeats(): void {
  const heartbeats = 20_000
  head('Owner: endpoint heartbeats, 22 tasks running each', 'endpoints', 'µs a heartbeat')
  for (const endpoints of [10, 30, 100, 300]) {
    const machine = makeOwner(endpoints)
    const sent = Array.from({ length: endpoints }, (_, n) =>
      makeAnnouncement(n, RUNNING_PER_ENDPOINT),
    )
    const us = medianOf(() =>
      processorUs(() => {
        for (let n = 0; n < heartbeats; n++) {
          const announcement = sent[n % endpoints] ?? makeAnnouncement(0)
          machine.step(NOW + n / 100, { kind: OwnerEventKind.Heartbeat, announcement })
        }
      }),
    )
    row(endpoints, us / heartbeats)
  }
}

/** Every task stays with the owner: dispatched as far as there are slots, queued behind them. */
function holdTasks(endpoints: number, tasks: number): OwnerMachine {
  const machine = makeOwner(endpoints)
  for (let placed = 0; placed < tasks; placed += 8) {
    const message = { case: 'placeTasks', value: makePlacement(placed, 8) } as const
    machine.step(NOW, { kind: OwnerEventKind.Message, from: PLACER, message })
  }
  if (machine.tasks < tasks) throw new Error(`only ${machine.tasks} of ${tasks} tasks are held`)
  return machine
}

function measureMemory(): void {
  head('Owner: heap', 'what', 'sizes', 'kB at each', 'bytes each (slope)')
  const endpointSizes = [300, 1000, 3000]
  measureHeld('endpoint', endpointSizes, (count) => makeOwner(count))
  const taskSizes = [3000, 10_000, 30_000]
  measureHeld('task queued, 8 a job', taskSizes, (count) => holdTasks(10, count))
  measureHeld('task dispatched, 8 a job', [2400, 7200, 24_000], (count) => {
    return holdTasks(count / 24, count)
  })
  measureHeld('task ended and remembered', [10_000, 30_000, 100_000], rememberTasks)
}

function rememberTasks(count: number): OwnerMachine {
  const machine = makeOwner(30)
  const value = defaultOwnerLimits.rememberedTasks
  if (count > value) throw new Error('more than an owner remembers')
  for (let n = 0; n < count / 8; n++) {
    const message = { case: 'placeTasks', value: makePlacement(n, 8) } as const
    const event = { kind: OwnerEventKind.Message, from: PLACER, message } as const
    for (const run of startsIn(machine.step(NOW, event))) endRun(machine, run)
  }
  return machine
}

function measureHeld(what: string, sizes: readonly number[], make: (n: number) => object): void {
  const points = sizes.map((size) => [size, medianOf(() => heldBytes(() => make(size)))] as const)
  const kilobytes = points.map(([, bytes]) => (bytes / 1000).toFixed(0)).join(', ')
  row(what, sizes.join(', '), kilobytes, slopeOf(points))
}

function measureOther(): void {
  head('Owner: tick, and a view of so many instances', 'endpoints or instances', 'µs')
  for (const endpoints of [30, 100, 300]) {
    const machine = holdTasks(endpoints, endpoints * 24)
    const ticks = 400
    const us = medianOf(() =>
      processorUs(() => {
        for (let n = 0; n < ticks; n++) machine.tick(NOW + n / 100)
      }),
    )
    row(`tick, ${endpoints} endpoints, all slots busy`, us / ticks)
  }
  for (const instances of [7, 30, 100, 300, 700]) {
    const machine = makeOwner(26)
    const members = makeMembers(NOW, instances, 4)
    const views = 400
    const us = medianOf(() =>
      processorUs(() => {
        for (let n = 0; n < views; n++) machine.step(NOW, { kind: OwnerEventKind.Members, members })
      }),
    )
    row(`view, ${instances} instances`, us / views)
  }
}

/** Prints what an owner costs. */
export function measureOwnerSlopes(): void {
  measureTasks()
  measureHeartbeats()
  measureMemory()
  measureOther()
}
