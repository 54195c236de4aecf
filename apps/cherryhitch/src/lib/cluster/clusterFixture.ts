import type { JobRequest, StandInEndpoint } from '@cherryhitch/stand-ins'
import {
  CallerLedger,
  EndpointLedger,
  callerPool,
  startBalancer,
  startStandInEndpoint,
} from '@cherryhitch/stand-ins'
import type { CallerPool } from '@cherryhitch/stand-ins'
import { Effect, Exit } from 'effect'
import type { Scope } from 'effect'
import type { Instance } from '../instance/Instance'
import { startCluster } from './startCluster'

const LOOPBACK = '127.0.0.1'
const SLOTS = 4
const POLL_MS = 20
/** Far longer than any condition takes; a test that reaches it fails. */
const WAIT_TIMEOUT_MS = 20_000

/** A small cluster with stand-in endpoints, callers and balancer, for tests. @internal */
export interface ClusterFixture {
  readonly instances: readonly Instance[]
  readonly endpoints: readonly StandInEndpoint[]
  readonly endpointLedger: EndpointLedger
  readonly callerLedger: CallerLedger
  readonly pool: CallerPool
  /** Creates a pool that submits through one instance only. */
  readonly poolAt: (instance: Instance) => Effect.Effect<CallerPool, never, Scope.Scope>
}

const members = [
  { instance: 'a1', zone: 'z1', voter: true },
  { instance: 'a2', zone: 'z1', voter: false },
  { instance: 'b1', zone: 'z2', voter: true },
  { instance: 'c1', zone: 'z3', voter: true },
]

/** Waits until a condition holds. @internal */
export function eventually(condition: string, holds: () => boolean): Effect.Effect<void> {
  const wait = Effect.gen(function* () {
    while (!holds()) yield* Effect.sleep(POLL_MS)
  })
  return Effect.timeoutOrElse(wait, {
    duration: WAIT_TIMEOUT_MS,
    orElse: () => Effect.die(new Error(`timed out waiting for a condition: ${condition}`)),
  })
}

/** Four instances in three availability zones, two endpoints with four slots in each zone. */
export function startFixture(): Effect.Effect<ClusterFixture, unknown, Scope.Scope> {
  return Effect.gen(function* () {
    const instances = yield* startCluster({
      instances: members,
      timing: { balancerDelayMs: 300, drainLimitMs: 10_000 },
    })
    const endpointLedger = new EndpointLedger()
    const endpoints: StandInEndpoint[] = []
    const addresses = instances.map(({ ports }) => `${LOOPBACK}:${ports.endpoints}`)
    for (const [index, zone] of ['z1', 'z1', 'z2', 'z2', 'z3', 'z3'].entries()) {
      const place = { endpoint: `w${index}`, service: 'trace', zone, rack: `${zone}-r${index}` }
      const worker = { slots: SLOTS, instances: addresses, ledger: endpointLedger }
      endpoints.push(yield* startStandInEndpoint({ ...place, ...worker }))
    }
    const callerLedger = new CallerLedger()
    const poolFor = (some: readonly Instance[]) =>
      Effect.gen(function* () {
        const callers = some.map(({ ports }) => `${LOOPBACK}:${ports.callers}`)
        const balancer = yield* startBalancer({ instances: callers })
        return yield* callerPool({ balancer, ledger: callerLedger })
      })
    const pool = yield* poolFor(instances)
    yield* awaitSlots(instances, endpoints.length * SLOTS)
    const poolAt = (instance: Instance) => poolFor([instance])
    return { instances, endpoints, endpointLedger, callerLedger, pool, poolAt }
  })
}

function awaitSlots(instances: readonly Instance[], slots: number): Effect.Effect<void> {
  const knowsAll = (instance: Instance): boolean => {
    const offers = instance.members().flatMap(({ services }) => services)
    return offers.reduce((sum, offer) => sum + offer.slots, 0) === slots
  }
  return eventually('every instance knows every slot', () => instances.every(knowsAll))
}

/** Runs the body of a test with a fixture that is stopped afterwards. @internal */
export async function withFixture(
  body: (fixture: ClusterFixture) => Effect.Effect<void, unknown, Scope.Scope>,
): Promise<void> {
  const exit = await Effect.runPromiseExit(Effect.scoped(Effect.flatMap(startFixture(), body)))
  if (Exit.isFailure(exit)) throw new Error(String(exit.cause))
}

/** A job with one task for each of the given run times. @internal */
export function jobOf(
  submission: string,
  runTimes: readonly number[],
  overrides: Partial<JobRequest> = {},
): JobRequest {
  return {
    submission,
    caller: 'desk',
    key: '',
    idempotent: true,
    deadlineMs: 8000,
    arrivalMs: 0,
    tasks: runTimes.map((runMs, i) => ({ service: 'trace', token: `${submission}/${i}`, runMs })),
    ...overrides,
  }
}
