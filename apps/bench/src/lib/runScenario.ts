import type { CallerPool, Deployment } from '@cherryhitch/stand-ins'
import {
  CallerLedger,
  EndpointLedger,
  WorkloadGenerator,
  callerPool,
  startBalancer,
  totalSlots,
} from '@cherryhitch/stand-ins'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { InstanceUsage, RunResult } from './measure/RunResult'
import { summarizeRun } from './measure/summarizeRun'
import { ORDINARY, policies } from './policies'
import type { BenchEvent, Scenario } from './scenarios/Scenario'
import type { BenchSystem } from './system/BenchSystem'
import { startBenchSystem } from './system/BenchSystem'
import type { BenchPrograms } from './system/buildPrograms'

/** One run to make. */
export interface RunOrder {
  readonly deployment: Deployment
  readonly scenario: Scenario
  /** Name of a policy; `ordinary` is the shipped preset. */
  readonly policy: string
  readonly seconds: number
  readonly seed: number
  readonly programs: BenchPrograms
  readonly say: (line: string) => void
}

const MS_PER_SECOND = 1000
/** After the load: leases run out, late answers arrive, stops are carried out. */
const SETTLE_MS = 1500
const CALLERS = [
  { name: 'desk-1', weight: 4 },
  { name: 'desk-2', weight: 2 },
  { name: 'batch', weight: 2 },
  { name: 'portal', weight: 1 },
]

/** Starts a deployment, puts the scenario's load and events on it, and measures. */
export function runScenario(order: RunOrder): Effect.Effect<RunResult> {
  const { deployment, scenario, seconds, seed, programs, say, policy } = order
  return Effect.scoped(
    Effect.gen(function* () {
      say(`${deployment.name} ${scenario.name} ${policy}: ${scenario.description}`)
      const system = yield* startBenchSystem(deployment, programs, seed)
      if (policy !== ORDINARY) yield* applyPolicy(system, policy)
      const callerLedger = new CallerLedger()
      const pool = yield* startCallers(system, callerLedger)
      const jobs = generateLoad(order)
      const before = system.daemons.map((daemon) => daemon.usage().cpuMs)
      const startedAt = Date.now()
      const log: string[] = []
      const events = scenario.events(system, seconds * MS_PER_SECOND)
      yield* Effect.all([pool.play(jobs), playEvents(events, log, say)], {
        concurrency: 'unbounded',
      })
      const elapsedMs = Date.now() - startedAt
      const instances = readUsage(system, before, elapsedMs)
      yield* Effect.sleep(SETTLE_MS)
      const endpointLedger = new EndpointLedger()
      yield* system.collect(endpointLedger)
      const name = scenario.name
      const record = { deployment, scenario: name, policy, seed, jobs, endpointLedger }
      const measured = { callerLedger, instances, events: log, seconds: elapsedMs / MS_PER_SECOND }
      return summarizeRun({ ...record, ...measured })
    }),
  )
}

function startCallers(
  system: BenchSystem,
  ledger: CallerLedger,
): Effect.Effect<CallerPool, never, Scope.Scope> {
  return Effect.gen(function* () {
    const balancer = yield* startBalancer({ instances: system.callerAddresses })
    const networkDelayMs = system.deployment.callerDelayMs
    return yield* callerPool({ balancer, ledger, networkDelayMs })
  })
}

function generateLoad({ deployment, scenario, seconds, seed }: RunOrder) {
  const durationMs = seconds * MS_PER_SECOND
  return new WorkloadGenerator({
    runId: `${scenario.name}-${seed}`,
    seed,
    durationMs,
    slots: totalSlots(deployment),
    callers: CALLERS,
    services: [{ service: deployment.service, weight: 1 }],
    ...scenario.workload(durationMs),
  }).generate()
}

function playEvents(
  events: readonly BenchEvent[],
  log: string[],
  say: (line: string) => void,
): Effect.Effect<void> {
  const play = (event: BenchEvent): Effect.Effect<void> =>
    Effect.gen(function* () {
      yield* Effect.sleep(event.atMs)
      log.push(`${Math.round(event.atMs)} ms: ${event.name}`)
      say(`  ${event.name}`)
      yield* event.act
    })
  return Effect.asVoid(Effect.all(events.map(play), { concurrency: 'unbounded' }))
}

function readUsage(
  system: BenchSystem,
  before: readonly number[],
  elapsedMs: number,
): readonly InstanceUsage[] {
  return system.daemons.map((daemon, index) => {
    const { cpuMs, peakRssMb } = daemon.usage()
    const cores = (cpuMs - (before[index] ?? 0)) / elapsedMs
    return { instance: daemon.place.instance, cores, peakRssMb }
  })
}

/** Defines the policy as a preset and puts it in force everywhere. */
function applyPolicy(system: BenchSystem, name: string): Effect.Effect<void> {
  return Effect.promise(async () => {
    const body = policies[name]
    const [daemon] = system.daemons
    if (body === undefined || daemon === undefined) throw new Error(`no policy ${name}`)
    const operator = system.operator(daemon)
    const { version } = await operator.settings()
    const defined = await operator.definePreset(name, body, version, `define-${name}`)
    await operator.setPreset(name, defined, `set-${name}`)
    for (const each of system.daemons) await awaitPreset(system, each, name)
  })
}

async function awaitPreset(
  system: BenchSystem,
  daemon: BenchSystem['daemons'][number],
  name: string,
): Promise<void> {
  const operator = system.operator(daemon)
  while ((await operator.settings()).preset !== name) {
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
}
