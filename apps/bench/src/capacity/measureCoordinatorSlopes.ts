import { shippedPresets } from '@cherryhitch/control'
import type { CoordinatorAction } from '@cherryhitch/coordinator'
import {
  CoordinatorActionKind,
  CoordinatorEventKind,
  CoordinatorMachine,
} from '@cherryhitch/coordinator'
import { create } from '@bufbuild/protobuf'
import type { PresetDefinition, TaskReports } from '@cherryhitch/protocol'
import { Outcome, TaskReportsSchema } from '@cherryhitch/protocol'
import { head, heldBytes, medianOf, processorUs, row, slopeOf } from './measuring'
import { instanceName, makeJob, makeMembers, ZONE } from './samples'

const NOW = 1_000_000
const TASKS = 12_000

function ordinaryPreset(): PresetDefinition {
  const [preset] = shippedPresets
  if (preset === undefined) throw new Error('no preset ships')
  return {
    ...preset,
    jobsInFlightPerInstance: 1_000_000,
    queuedTasksPerSlot: 10_000,
    callerQueueShare: 1,
  }
}

function makeCoordinator(owners: number): CoordinatorMachine {
  const self = { instance: instanceName(0), zone: ZONE, boot: 1 }
  const machine = new CoordinatorMachine({ ...self, preset: ordinaryPreset() })
  const members = makeMembers(NOW, owners, 1)
  machine.step(NOW, { kind: CoordinatorEventKind.Members, members })
  return machine
}

/** Reports of success on all tasks that a step placed. */
function reportsOn(actions: readonly CoordinatorAction[]): { from: string; value: TaskReports }[] {
  return actions.flatMap((action) => {
    if (action.kind !== CoordinatorActionKind.Send) return []
    const { body } = action.envelope
    if (body.case !== 'placeTasks') return []
    const { jobId, tasks } = body.value
    const reports = tasks.map(({ index }) => ({
      index,
      outcome: Outcome.SUCCEEDED,
      output: '"done"',
      runMs: 300,
    }))
    return [{ from: action.to, value: create(TaskReportsSchema, { jobs: [{ jobId, reports }] }) }]
  })
}

/** Passes jobs through; messages are those to owners. */
function passJobs(owners: number, perJob: number): { us: number; messages: number } {
  const machine = makeCoordinator(owners)
  const jobs = Math.floor(TASKS / perJob)
  const specs = Array.from({ length: jobs }, (_, n) => makeJob(n, perJob))
  let messages = 0
  let us = 0
  specs.forEach((job, n) => {
    const requestId = `r${n}`
    const { Submit, Message } = CoordinatorEventKind
    let placed: readonly CoordinatorAction[] = []
    us += elapsedUs(() => {
      placed = machine.step(NOW, { kind: Submit, requestId, job, respondAsync: false })
    })
    const answers = reportsOn(placed)
    messages += answers.length
    us += elapsedUs(() => {
      for (const { from, value } of answers) {
        machine.step(NOW, { kind: Message, from, message: { case: 'taskReports', value } })
      }
    })
  })
  if (machine.counters.refused > 0) throw new Error('jobs were refused')
  return { us: us / jobs, messages: messages / jobs }
}

/** One step is too short for the processor clock, so the wall clock is read instead. */
function elapsedUs(work: () => void): number {
  const startedAt = performance.now()
  work()
  return (performance.now() - startedAt) * 1000
}

function measureJobs(): void {
  const columns = ['owners offered', 'tasks a job', 'µs a job', 'µs a task', 'messages a job']
  head('Coordinator: submission to answer', ...columns)
  for (const owners of [7, 30, 100, 300]) {
    for (const perJob of [1, 8, 120]) {
      passJobs(owners, perJob)
      const us = medianOf(() => passJobs(owners, perJob).us)
      row(owners, perJob, us, us / perJob, passJobs(owners, perJob).messages)
    }
  }
}

function holdJobs(jobs: number, perJob: number): CoordinatorMachine {
  const machine = makeCoordinator(7)
  for (let n = 0; n < jobs; n++) {
    const job = makeJob(n, perJob)
    const kind = CoordinatorEventKind.Submit
    machine.step(NOW, { kind, requestId: `r${n}`, job, respondAsync: false })
  }
  if (machine.jobsInFlight !== jobs) throw new Error('jobs were refused')
  return machine
}

function measureMemory(): void {
  head('Coordinator: heap', 'tasks a job', 'jobs', 'kB at each', 'bytes a job in flight (slope)')
  for (const [perJob, sizes] of [
    [1, [1000, 3000, 10_000]],
    [8, [1000, 3000, 10_000]],
    [120, [100, 300, 1000]],
  ] as const) {
    const points = sizes.map((size) => {
      return [size, medianOf(() => heldBytes(() => holdJobs(size, perJob)))] as const
    })
    const kilobytes = points.map(([, bytes]) => (bytes / 1000).toFixed(0)).join(', ')
    row(perJob, sizes.join(', '), kilobytes, slopeOf(points))
  }
}

function measureViews(): void {
  head('Coordinator: a view of so many instances', 'instances', 'services each', 'µs a view')
  for (const instances of [7, 30, 100, 300, 700]) {
    const machine = makeCoordinator(7)
    const members = makeMembers(NOW, instances, 4)
    const views = 200
    const us = medianOf(() =>
      processorUs(() => {
        for (let n = 0; n < views; n++) {
          machine.step(NOW + n, { kind: CoordinatorEventKind.Members, members })
        }
      }),
    )
    row(instances, 4, us / views)
  }
}

/** Prints what a coordinator costs. */
export function measureCoordinatorSlopes(): void {
  measureJobs()
  measureMemory()
  measureViews()
}
