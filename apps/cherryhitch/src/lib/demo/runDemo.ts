import type { CallerAttempt, CallerPool, JobRequest } from '@cherryhitch/stand-ins'
import {
  CallerLedger,
  CallerOutcome,
  EndpointLedger,
  WorkloadGenerator,
  callerPool,
  checkLedgers,
  deployments,
  idealSchedule,
  longestPath,
  placeEndpoints,
  placeInstances,
  startBalancer,
  startStandInEndpoint,
  totalSlots,
} from '@cherryhitch/stand-ins'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { startCluster } from '../cluster/startCluster'
import type { Instance } from '../instance/Instance'
import type { InstanceError } from '../instance/startInstance'
import type { DemoOptions } from './DemoOptions'
import type { DemoReport } from './DemoReport'
import { shortJobs, wideJobs } from './demoJobs'
import { findUnanswered } from './findUnanswered'
import { mean, percentile } from './percentile'

const { kitaura } = deployments
const VOTERS = 3
const READY_POLL_MS = 50
const LOOPBACK = '127.0.0.1'

/** The instances, their stand-in endpoints and callers, and the ledgers of both. */
interface DemoSystem {
  readonly instances: readonly Instance[]
  readonly endpointLedger: EndpointLedger
  readonly callerLedger: CallerLedger
  readonly pool: CallerPool
}

/**
 * Runs the Kitaura deployment in this process: seven instances, 33 stand-in endpoints, and jobs
 * through the real HTTP path.
 *
 * @param log - receives a line for each step of the demo
 * @public
 */
export function runDemo(
  options: DemoOptions,
  log: (line: string) => void,
): Effect.Effect<DemoReport, InstanceError> {
  return Effect.scoped(
    Effect.gen(function* () {
      log(`starting ${kitaura.instances} instances and ${kitaura.workers} endpoints`)
      const system = yield* startSystem()
      yield* awaitEndpoints(system.instances)
      log(`${options.wideJobs} jobs of 100 tasks, one after the other`)
      const wide = yield* runSequentially(
        system.pool,
        wideJobs(kitaura.service, options.wideJobs, options.seed),
      )
      log(`${options.shortJobs} jobs of one task, one after the other`)
      const short = yield* runSequentially(
        system.pool,
        shortJobs(kitaura.service, options.shortJobs),
      )
      log(
        `mixed load on ${Math.round(options.busyShare * 100)} % of the slots for ${options.loadMs / 1000} s`,
      )
      const load = mixedLoad(options)
      yield* system.pool.play(load)
      return makeReport(system, wide, short, load)
    }),
  )
}

function startSystem(): Effect.Effect<DemoSystem, InstanceError, Scope.Scope> {
  return Effect.gen(function* () {
    const placed = placeInstances(kitaura)
    const voterOf = firstOfEachZone(placed.map(({ zone }) => zone))
    const instances = yield* startCluster({
      instances: placed.map((place, index) => ({ ...place, voter: voterOf.has(index) })),
    })
    const endpointLedger = new EndpointLedger()
    const addresses = instances.map(({ ports }) => `${LOOPBACK}:${ports.endpoints}`)
    for (const place of placeEndpoints(kitaura)) {
      const { service, slots, connections, capacity } = kitaura
      const worker = { service, slots, connections, capacity, instances: addresses }
      yield* Effect.orDie(startStandInEndpoint({ ...place, ...worker, ledger: endpointLedger }))
    }
    const callers = instances.map(({ ports }) => `${LOOPBACK}:${ports.callers}`)
    const balancer = yield* startBalancer({ instances: callers })
    const callerLedger = new CallerLedger()
    const pool = yield* callerPool({ balancer, ledger: callerLedger })
    return { instances, endpointLedger, callerLedger, pool }
  })
}

/** Picks one voter in each availability zone, so that the quorum survives the loss of a zone. */
function firstOfEachZone(zones: readonly string[]): ReadonlySet<number> {
  const first = zones.map((zone, index) => (zones.indexOf(zone) === index ? index : -1))
  return new Set(first.filter((index) => index >= 0).slice(0, VOTERS))
}

/** Waits until every instance knows all slots. */
function awaitEndpoints(instances: readonly Instance[]): Effect.Effect<void> {
  const knowsAll = (instance: Instance): boolean => {
    const offers = instance.members().flatMap(({ services }) => services)
    return offers.reduce((slots, offer) => slots + offer.slots, 0) >= totalSlots(kitaura)
  }
  return Effect.gen(function* () {
    while (!instances.every(knowsAll)) yield* Effect.sleep(READY_POLL_MS)
  })
}

function runSequentially(
  pool: CallerPool,
  jobs: readonly JobRequest[],
): Effect.Effect<readonly (readonly [JobRequest, CallerAttempt])[]> {
  return Effect.gen(function* () {
    const done: (readonly [JobRequest, CallerAttempt])[] = []
    for (const job of jobs) done.push([job, yield* pool.submit(job)])
    return done
  })
}

function mixedLoad({ loadMs, busyShare, seed }: DemoOptions): readonly JobRequest[] {
  return new WorkloadGenerator({
    runId: 'demo',
    seed,
    durationMs: loadMs,
    slots: totalSlots(kitaura),
    busyShare,
    services: [{ service: kitaura.service, weight: 1 }],
  }).generate()
}

function responseMs(attempt: CallerAttempt): number {
  return attempt.endedAt - attempt.dueAt
}

function makeReport(
  system: DemoSystem,
  wide: readonly (readonly [JobRequest, CallerAttempt])[],
  short: readonly (readonly [JobRequest, CallerAttempt])[],
  load: readonly JobRequest[],
): DemoReport {
  const { endpointLedger, callerLedger } = system
  const wideRatios = wide.map(([job, attempt]) => responseMs(attempt) / longestPath(job, 0))
  const added = short.map(([job, attempt]) => responseMs(attempt) - longestPath(job, 0))
  const loadRatios = ratiosToIdeal(load, callerLedger)
  const messages = endpointLedger.messages
  return {
    jobs: callerLedger.attempts.length,
    answeredJobs: callerLedger.attempts.filter((a) => a.outcome === CallerOutcome.Answered).length,
    unanswered: findUnanswered(callerLedger),
    startedTasks: endpointLedger.runs.length,
    messages: messages.reduce((sum, count) => sum + count.messages, 0),
    wastedMessages: messages.reduce((sum, count) => sum + count.wasted, 0),
    wideOverIdeal: { p50: percentile(wideRatios, 0.5), p99: percentile(wideRatios, 0.99) },
    addedMs: { p50: percentile(added, 0.5), p99: percentile(added, 0.99) },
    loadOverIdeal: { mean: mean(loadRatios), p99: percentile(loadRatios, 0.99) },
    invariants: checkLedgers(endpointLedger, callerLedger),
  }
}

function ratiosToIdeal(load: readonly JobRequest[], ledger: CallerLedger): readonly number[] {
  const slots = new Map([[kitaura.service, totalSlots(kitaura)]])
  const ideals = new Map(
    idealSchedule(load, { slots }).map((ideal) => [ideal.submission, ideal.scheduledMs]),
  )
  return ledger.attempts.flatMap((attempt) => {
    const ideal = ideals.get(attempt.submission)
    if (ideal === undefined || attempt.outcome !== CallerOutcome.Answered) return []
    return [responseMs(attempt) / ideal]
  })
}
