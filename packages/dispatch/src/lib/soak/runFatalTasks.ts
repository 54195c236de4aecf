import { hash64, seededRandom } from '@cherryhitch/model'
import { JobVerdict } from '@cherryhitch/protocol'
import { DispatchSimulation } from './DispatchSimulation'

/** Instances that are killed without notice. @internal */
export enum LostInstances {
  None = 'none',
  Leader = 'leader',
  /** All instances in a third of the cases, otherwise the leader only. */
  LeaderOrAll = 'leader_or_all',
}

/** @internal */
export interface FatalTasksOptions {
  readonly seed: number
  /** Share of the jobs with a task that crashes every endpoint that starts it. */
  readonly fatalShare: number
  /** Whether all endpoints of a random rack are lost at once from time to time. */
  readonly hasGroupLosses?: boolean
  /** Whether leadership moves to another instance from time to time. */
  readonly hasElections?: boolean
  /** Which instances are killed from time to time, losing their state in memory. */
  readonly lostInstances?: LostInstances
  /** Whether an endpoint keeps its id when it restarts. */
  readonly keepsIds?: boolean
  readonly steps?: number
}

/** @internal */
export const defaultFatalTasksOptions = {
  hasGroupLosses: false,
  hasElections: false,
  lostInstances: LostInstances.None,
  keepsIds: false,
  steps: 300,
} as const

/** Result of a randomised run. @internal */
export interface FatalTasksReport {
  readonly violations: readonly string[]
  /** Endpoints that were lost under fatal tasks. */
  readonly crashes: number
  /** Jobs with a fatal task that was started. */
  readonly fatalJobs: number
  /** Jobs without such a task that were reported as failed. */
  readonly innocentFailed: number
  readonly innocentCompleted: number
  readonly innocentSubmitted: number
}

const LEADERS = 3
const ENDPOINTS = 24
const RACKS = 4
const STEP_MS = 50
/** Delay after the deadline before a caller resubmits a job of unknown outcome, in milliseconds. */
const RESUBMIT_MS = 1_300
const MOST_SUBMISSIONS = 4
/** Time without a leader after one was killed, in milliseconds. */
const LEAST_ELECTION_MS = 300
const MOST_ELECTION_MS = 1_000
const FRACTION = 0xffffffff
const DIGITS = 8

/**
 * Simulates one randomised run with tasks that crash their endpoint. Callers resubmit jobs of
 * unknown outcome; endpoints return after some seconds, as a new incarnation at the same address.
 *
 * @internal
 */
export function runFatalTasks(options: FatalTasksOptions): FatalTasksReport {
  const chosen = { ...defaultFatalTasksOptions, ...options }
  const { seed, fatalShare, hasGroupLosses, hasElections, lostInstances, keepsIds, steps } = chosen
  const random = seededRandom(seed)
  const below = (n: number): number => Math.floor(random() * n)
  const isFatalJob = (job: string): boolean => {
    const digits = hash64(`${seed}/${job}`).slice(0, DIGITS)
    return Number.parseInt(digits, 16) / FRACTION < fatalShare
  }
  const world = new DispatchSimulation({
    leaders: LEADERS,
    endpoints: ENDPOINTS,
    racks: RACKS,
    placesEach: 3,
    random,
    keepsIds,
    storesDirectories: lostInstances !== LostInstances.None,
    isFatal: (task) => task.endsWith('.0.0.0') && isFatalJob(task.split('.')[0] ?? ''),
  })
  world.elect(0, 0)
  world.run(200)
  let submitted = 0
  for (let step = 0; step < steps; step++) {
    world.run(STEP_MS)
    for (let i = below(3); i > 0; i--) submitAgain(world, `j${submitted++}`, 1 + below(4))
    if (hasElections && random() < 0.02) world.elect(below(LEADERS), below(1_000))
    if (hasGroupLosses && random() < 0.01) loseRack(world, below(RACKS))
    if (lostInstances === LostInstances.None || random() >= 0.02) continue
    const isAll = lostInstances === LostInstances.LeaderOrAll && below(3) === 0
    loseLeader(world, below, isAll)
  }
  world.run(8_000)
  const jobs = Array.from({ length: submitted }, (_, n) => `j${n}`)
  const innocent = jobs.filter((job) => !isFatalJob(job))
  const count = (verdict: JobVerdict): number => {
    return innocent.filter((job) => world.outcomes.get(job)?.verdict === verdict).length
  }
  const { crashes } = world.lifecycle
  return {
    violations: world.violations,
    crashes: [...crashes.values()].reduce((sum, one) => sum + one, 0),
    fatalJobs: crashes.size,
    innocentFailed: count(JobVerdict.FAILED),
    innocentCompleted: count(JobVerdict.COMPLETED),
    innocentSubmitted: innocent.length,
  }
}

function submitAgain(world: DispatchSimulation, job: string, tasks: number, submissions = 1): void {
  const deadlineMs = 1_500
  world.submit(job, tasks, { deadlineMs })
  world.after(deadlineMs + RESUBMIT_MS, () => {
    const isUnknown = world.outcomes.get(job)?.verdict === JobVerdict.UNKNOWN
    if (isUnknown && submissions < MOST_SUBMISSIONS) {
      submitAgain(world, job, tasks, submissions + 1)
    }
  })
}

/** Kills the leader's process, or those of all instances, and elects another leader soon after. */
function loseLeader(world: DispatchSimulation, below: (n: number) => number, isAll: boolean): void {
  const instances = Array.from({ length: LEADERS }, (_, i) => i)
  const leader = instances.findIndex((i) => world.isElected(i))
  for (const i of isAll ? instances : [leader]) world.restart(i, below(800), below(300))
  world.after(LEAST_ELECTION_MS + below(MOST_ELECTION_MS - LEAST_ELECTION_MS), () => {
    const next = (leader + 1 + below(LEADERS - 1)) % LEADERS
    if (world.isUp(next)) world.elect(next, 0)
  })
}

/** Crashes all endpoints of a rack at once. */
function loseRack(world: DispatchSimulation, number: number): void {
  const lost = world.endpoints.filter(({ options }) => options.rack === `r${number}`)
  for (const endpoint of lost) world.lifecycle.crash(endpoint)
}
