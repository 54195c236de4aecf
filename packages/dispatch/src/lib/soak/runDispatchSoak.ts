import { seededRandom } from '@cherryhitch/model'
import { JobVerdict } from '@cherryhitch/protocol'
import { DispatchSimulation } from './DispatchSimulation'
import { HintCheckedMachine } from './HintCheckedMachine'
import { SIMULATED_ZONES } from './ZoneDrains'
import type { DrainFault } from './ZoneDrains'

/** Result of a randomised run. @public */
export interface DispatchSoakReport {
  readonly violations: readonly string[]
  readonly completed: number
  readonly submitted: number
}

/** @public */
export interface DispatchSoakOptions {
  /** Whether there is no leader for up to 1.5 s between two leaders. */
  readonly hasGaps?: boolean
  /** Number of instances that forward the leader's orders; some are unreachable for a while. */
  readonly proxies?: number
  /** Whether processes of dispatchers, including the leader, crash and restart. */
  readonly hasRestarts?: boolean
  /** Whether endpoints crash or leave and restart under the same id, at once or after a while. */
  readonly hasEndpointRestarts?: boolean
  /** Whether operators drain and restore availability zones, and copies of their orders arrive. */
  readonly hasZoneDrains?: boolean
  /** See `DispatchSimulationOptions`. */
  readonly drainFault?: DrainFault
  /** See `DispatchSimulationOptions`. */
  readonly resendsToNextProcess?: boolean
  /** See `DispatchSimulationOptions`. */
  readonly takesLivesForOne?: boolean
  /** See `HintCheckOptions`. */
  readonly ignoresHintTerms?: boolean
}

/** Failure rates of orders and runs: about those on the users' own days with trouble. */
const CHANCES = { lostAnswer: 0.02, lateOrder: 0.02, failedRun: 0.03 }
const LEADERS = 3
const STEP_MS = 50

/**
 * Simulates one randomised run: jobs arrive, orders are lost or delayed, endpoints become
 * unreachable, new endpoints join, and the leader changes before the old one notices.
 *
 * @public
 */
export function runDispatchSoak(
  seed: number,
  steps: number,
  options: DispatchSoakOptions = {},
): DispatchSoakReport {
  const { proxies = 0, resendsToNextProcess = false, takesLivesForOne = false } = options
  const keepsIds = options.hasEndpointRestarts === true
  const random = seededRandom(seed)
  const below = (n: number): number => Math.floor(random() * n)
  const hintViolations: string[] = []
  const world = new DispatchSimulation({
    leaders: LEADERS,
    endpoints: 3,
    placesEach: 3,
    random,
    proxies,
    resendsToNextProcess,
    takesLivesForOne,
    keepsIds,
    guardsPlaces: !keepsIds,
    ...(options.drainFault !== undefined && { drainFault: options.drainFault }),
    chances: CHANCES,
    makeMachine: (chosen) => {
      return new HintCheckedMachine(chosen, {
        ignoresTerms: options.ignoresHintTerms === true,
        report: (violation) => hintViolations.push(violation),
      })
    },
  })
  world.elect(0, 0)
  let submitted = 0
  for (let step = 0; step < steps; step++) {
    world.run(STEP_MS)
    if (random() < 0.6) {
      world.submit(`j${submitted++}`, 1 + below(4), { deadlineMs: 800 + below(3_000) })
    }
    disturb(world, { random, below }, options)
    if (options.hasZoneDrains === true) drainZone(world, { random, below })
  }
  world.run(5_000)
  const verdicts = [...world.outcomes.values()].map(({ verdict }) => verdict)
  const completed = verdicts.filter((verdict) => verdict === JobVerdict.COMPLETED).length
  return { violations: [...world.violations, ...hintViolations], completed, submitted }
}

interface Draw {
  readonly random: () => number
  readonly below: (n: number) => number
}

/** Injects the failures of one step. */
function disturb(
  world: DispatchSimulation,
  { random, below }: Draw,
  options: DispatchSoakOptions,
): void {
  const { hasGaps = false, proxies = 0, hasRestarts = false, hasEndpointRestarts = false } = options
  if (random() < 0.05) {
    const leader = below(LEADERS)
    const [learnsMs, gapMs] = [below(hasGaps ? 4_000 : 1_000), hasGaps ? below(1_500) : 0]
    if (world.isUp(leader)) world.elect(leader, learnsMs, gapMs)
  }
  if (random() < 0.1) {
    world.cut(`d${below(LEADERS)}`, `e${below(world.endpoints.length)}`, below(2_000))
  }
  if (proxies > 0) disturbProxies(world, { random, below }, proxies)
  if (hasRestarts && random() < 0.04) restart(world, below)
  if (hasEndpointRestarts) restartEndpoint(world, { random, below })
  if (random() < 0.01) addEndpoint(world, below)
}

/** Crashes or drains an endpoint at random; half of them return before the loss is detected. */
function restartEndpoint(world: DispatchSimulation, { random, below }: Draw): void {
  const endpoint = world.endpoints[below(world.endpoints.length)]
  const downMs = random() < 0.5 ? below(20) : below(3_000)
  if (endpoint === undefined) return
  if (random() < 0.06) world.lifecycle.crashWithLateNotice(endpoint, downMs)
  else if (random() < 0.02) world.lifecycle.leave(endpoint, downMs)
}

/** Drains a zone or restores it; at times a copy of an earlier order arrives. */
function drainZone(world: DispatchSimulation, { random, below }: Draw): void {
  const zone = SIMULATED_ZONES[below(SIMULATED_ZONES.length)] ?? ''
  if (random() < 0.05) world.drains.set(zone, random() < 0.5)
  if (random() < 0.02) world.drains.repeatEarlierOrder(zone)
}

/** Adds an endpoint that is announced to only one instance at first. */
function addEndpoint(world: DispatchSimulation, below: Draw['below']): void {
  const id = `e${world.endpointsAdded}`
  world.addEndpoint(id, { knownTo: [below(LEADERS)] })
}

function disturbProxies(world: DispatchSimulation, { random, below }: Draw, proxies: number): void {
  if (random() < 0.1) {
    world.cut(`p${below(proxies)}`, `e${below(world.endpoints.length)}`, below(2_000))
  }
  if (random() < 0.05) world.silenceProxy(below(proxies), below(3_000))
}

/** Restarts one instance, or all at about the same time, and elects a leader if it was lost. */
function restart(world: DispatchSimulation, below: (n: number) => number): void {
  const isAll = below(3) === 0
  const lost = isAll ? Array.from({ length: LEADERS }, (_, i) => i) : [below(LEADERS)]
  const isLeaderLost = lost.some((i) => world.isElected(i))
  for (const i of lost) world.restart(i, below(800), below(500))
  if (!isLeaderLost) return
  world.after(300 + below(1_200), () => {
    const next = below(LEADERS)
    if (world.isUp(next)) world.elect(next, 0)
  })
}
