import { hash64, seededRandom } from '@cherryhitch/model'
import type { Mechanism } from '@cherryhitch/model'
import { JobVerdict } from '@cherryhitch/protocol'
import type { DispatchCounters } from '../DispatchCore'
import type { DispatchMachine } from '../DispatchMachine'
import type { DispatchOptions } from '../DispatchOptions'
import type { JobAdmission } from '../scheduling/JobAdmission'
import type { QueuePolicy } from '../scheduling/QueuePolicy'
import { DispatchSimulation } from './DispatchSimulation'
import type { LeaderCosts } from './PayingLeader'

/** A class of jobs with its mean number of tasks and run time. */
interface JobKind {
  readonly tasks: number
  readonly runMs: number
  /** Percentage of the jobs that are of this kind. */
  readonly share: number
}

/** Job mix of the users' data sheets: short and wide, long, and small jobs. */
const KINDS: readonly JobKind[] = [
  { tasks: 8, runMs: 60, share: 24.5 },
  { tasks: 4, runMs: 900, share: 4.5 },
  { tasks: 2, runMs: 200, share: 71 },
]
/** Standard deviations of the log of work, of its estimate, and within a job, by the sheets. */
const WORK_SPREAD = 0.4
const ESTIMATE_SPREAD = 0.4
const TASK_SPREAD = 0.15
/** Bounds of the factor by which misjudged estimates are off. */
const LEAST_FACTOR = 0.2
const MOST_FACTOR = 8
/** Factor by which run times at a slow endpoint exceed those at the others. */
const SLOW_FACTOR = 4
const STRETCH = 1.6
const TARGET_MS = 60
/** Multiple of the objective up to which a late answer is still useful. */
const USEFUL_OBJECTIVES = 3
const DEADLINE_MS = 1_500
const PLACES_EACH = 2
const LEARN_LOAD = 0.6
/** Offset of the seeds for lost and delayed orders from those of the jobs. */
const ORDER_SEEDS = 1_000
/** Number of hash digits that form a seed. */
const SEED_DIGITS = 8
/** Time within which the leader has polled all endpoints, in milliseconds. */
const START_MS = 200
/** Mean work of a job: tasks times their run time. */
const MEAN_WORK_MS =
  KINDS.reduce((sum, { tasks, runMs, share }) => sum + tasks * runMs * share, 0) / 100
/** When a killed instance is back, and when the entry notices the loss, in milliseconds. */
const KILLED_DOWN_MS = 3_000
const LOSS_NOTICED_MS = 100
/** Jobs this soon after a load change, in milliseconds, still reflect the load before it. */
const SETTLE_MS = 1_000
/** Suffix of the id of the task that crashes endpoints, in a fatal job. */
const FATAL_TASK = '.0.0.0'
/** Share of the objective within which a refusal counts as early. */
const EARLY_SHARE = 0.25

/** @internal */
export interface LoadOptions {
  /** Arriving work as a share of the slot capacity. */
  readonly load: number
  readonly seed?: number
  readonly order?: QueuePolicy
  readonly admission?: JobAdmission
  readonly without?: readonly Mechanism[]
  /** Share of the orders that are executed late and not answered. */
  readonly lateOrder?: number
  /** Share of jobs with a task that crashes every endpoint that starts it; they aren't counted. */
  readonly fatalShare?: number
  /** Share of the jobs whose estimate is off by a factor drawn from 0.2 to 8 times. */
  readonly misjudgedShare?: number
  /** Share of the endpoints that are slow. */
  readonly slowShare?: number
  /** Speeds of the endpoints in turn, where 1 is that of the estimates; all 1 by default. */
  readonly speeds?: readonly number[]
  /** Priority of each kind's queue; 0, the most urgent, for all by default. */
  readonly priorities?: readonly number[]
  /** A kind whose jobs arrive more often for some time, counted from the first counted job. */
  readonly burst?: LoadBurst
  /** Time in which run times and speeds are learned, in milliseconds; its jobs are not counted. */
  readonly warmUpMs?: number
  /** When the leader is killed and another instance takes over; never by default. */
  readonly takeover?: LoadTakeover
  readonly endpoints?: number
  /** Time for which jobs arrive at this load, in milliseconds. */
  readonly playMs?: number
  /** The load that follows; if set, only jobs at least 1 s after the change are counted. */
  readonly then?: { readonly load: number; readonly playMs: number }
  /** Processor time of the leader's work; its decisions take no time by default. */
  readonly costs?: LeaderCosts
  /** Creates the dispatcher, for measurements. */
  readonly makeMachine?: (options: DispatchOptions) => DispatchMachine
}

/** A burst of one kind of jobs. @internal */
export interface LoadBurst {
  /** Index of the kind: 0 short and wide, 1 long, 2 small. */
  readonly kind: number
  /** Factor on the rate at which its jobs arrive; at least 1. */
  readonly factor: number
  readonly fromMs: number
  readonly forMs: number
}

/** The loss of the leader, counted from the first counted job. @internal */
export interface LoadTakeover {
  readonly atMs: number
  /** Time without a leader, in milliseconds. */
  readonly gapMs: number
}

/** Defaults, with the number of endpoints at the users' small sites. @internal */
export const defaultLoadOptions = {
  seed: 1,
  lateOrder: 0,
  fatalShare: 0,
  misjudgedShare: 0,
  slowShare: 0,
  endpoints: 33,
  playMs: 9_000,
  warmUpMs: 2_000,
} as const

/** Shares of the jobs, 0 to 1. @internal */
export interface LoadOutcome {
  readonly inTime: number
  readonly inTimeByKind: readonly number[]
  readonly late: number
  /** Share of the jobs of each kind that were answered with success at any time. */
  readonly servedByKind: readonly number[]
  /** The counted jobs and what became of them, in the order of their arrival. */
  readonly jobs: readonly LoadJobOutcome[]
  readonly refusedEarly: number
  readonly refusedLate: number
  /** Neither answered within three times the objective nor refused. */
  readonly unserved: number
  /** Increase of the dispatcher's counters while jobs arrived, without the warm-up. */
  readonly counted: Readonly<DispatchCounters>
  readonly violations: readonly string[]
}

/** What became of one job. @internal */
export interface LoadJobOutcome {
  readonly kind: number
  /** When it was submitted, in milliseconds from the first counted job's earliest time. */
  readonly atMs: number
  readonly inTime: boolean
  readonly late: boolean
  /** Answered with success at any time. */
  readonly served: boolean
  readonly refusedEarly: boolean
  readonly refusedLate: boolean
}

interface SentJob {
  readonly id: string
  readonly kind: number
  readonly at: number
  readonly objectiveMs: number
}

/**
 * Simulates one dispatcher under the job mix of the users' data sheets, at a share of the slot
 * capacity. Work, its estimates and tasks within a job vary as given in the sheets.
 *
 * @internal
 */
export function playLoad(options: LoadOptions): LoadOutcome {
  const { load, playMs, then, warmUpMs, takeover } = { ...defaultLoadOptions, ...options }
  const play = new LoadPlay(options)
  play.submitUntil(warmUpMs, LEARN_LOAD)
  const countsFrom = play.world.now
  if (takeover !== undefined) play.scheduleTakeover(takeover)
  play.beginCounting()
  const before = { ...play.world.counters }
  const endAt = warmUpMs + playMs
  let sent = play.submitUntil(endAt, load)
  if (then !== undefined) {
    play.submitUntil(endAt + SETTLE_MS, then.load)
    sent = play.submitUntil(endAt + SETTLE_MS + then.playMs, then.load)
  }
  const counted = difference(play.world.counters, before)
  play.world.run(2 * DEADLINE_MS)
  const counting = sent.filter(({ id }) => !play.isFatal(id))
  return { ...summarize(play.world, counting, countsFrom), counted }
}

/**
 * Generates jobs of the users' mix and submits them to a simulated dispatcher. Jobs, run times of
 * tasks and failures of orders use independent random sequences, so that a change that sends more
 * or fewer orders, or starts a task elsewhere, is simulated with the same jobs.
 */
class LoadPlay {
  readonly world: DispatchSimulation
  private readonly random: () => number
  /** Mean run time of each job's tasks, in milliseconds, by job id. */
  private readonly workOf = new Map<string, number>()
  private countsFrom = Infinity

  constructor(private readonly options: LoadOptions) {
    const chosen = { without: [], ...defaultLoadOptions, ...options }
    const { seed, order, admission, without, lateOrder, endpoints, slowShare } = chosen
    const { costs, makeMachine, priorities, speeds = [], takeover } = chosen
    this.random = seededRandom(seed)
    this.world = new DispatchSimulation({
      leaders: takeover === undefined ? 1 : 2,
      endpoints,
      placesEach: PLACES_EACH,
      random: seededRandom(seed + ORDER_SEEDS),
      without,
      chances: { lateOrder },
      isFatal: (task) => task.endsWith(FATAL_TASK) && this.isFatal(task.split('.')[0] ?? ''),
      runMs: (task, endpoint) => {
        const own = seededRandom(parseInt(hash64(`${seed}/${task}`).slice(0, SEED_DIGITS), 16))
        const workMs = this.workOf.get(task.split('.')[0] ?? '') ?? 0
        const slowness = Number(endpoint.slice(1)) < slowShare * endpoints ? SLOW_FACTOR : 1
        const speed = speeds[Number(endpoint.slice(1)) % speeds.length] ?? 1
        return ((workMs * slowness) / speed) * spread(own, TASK_SPREAD)
      },
      ...(priorities !== undefined && { priorities }),
      ...(order !== undefined && { order }),
      ...(admission !== undefined && { admission }),
      ...(costs !== undefined && { costs }),
      ...(makeMachine !== undefined && { makeMachine }),
    })
    this.world.elect(0, 0)
    this.world.run(START_MS)
  }

  /** Whether a job has a task that crashes every endpoint that starts it. */
  isFatal(id: string): boolean {
    const { seed, fatalShare } = { ...defaultLoadOptions, ...this.options }
    const draw = seededRandom(parseInt(hash64(`${seed}/${id}`).slice(0, SEED_DIGITS), 16))
    return draw() < fatalShare
  }

  /** Returns the factor by which the estimate of a job is off. */
  private misjudgement(id: string): number {
    const { seed, misjudgedShare } = { ...defaultLoadOptions, ...this.options }
    const draw = seededRandom(parseInt(hash64(`${seed}+${id}`).slice(0, SEED_DIGITS), 16))
    if (draw() >= misjudgedShare) return 1
    return LEAST_FACTOR * (MOST_FACTOR / LEAST_FACTOR) ** draw()
  }

  /** Jobs that are submitted from now on are counted. */
  beginCounting(): void {
    this.countsFrom = this.world.now
  }

  /** Kills the leader, and elects the other instance after a gap. */
  scheduleTakeover({ atMs, gapMs }: LoadTakeover): void {
    this.world.after(atMs, () => {
      this.world.restart(0, KILLED_DOWN_MS, LOSS_NOTICED_MS)
      this.world.elect(1, 0, gapMs)
    })
  }

  /** Submits jobs at random times, at a mean rate that uses a share of the slot capacity. */
  submitUntil(end: number, load: number): SentJob[] {
    const { endpoints = defaultLoadOptions.endpoints } = this.options
    const gapMs = MEAN_WORK_MS / (endpoints * PLACES_EACH * load)
    const sent: SentJob[] = []
    while (this.world.now < end) {
      const shares = this.arrivalShares()
      sent.push(this.submit(shares))
      const rate = shares.reduce((sum, share) => sum + share, 0) / 100
      this.world.run((-gapMs / rate) * Math.log(1 - this.random()))
    }
    return sent
  }

  /** Rate of each kind's jobs at this moment, in percent of the rate of all jobs without a burst. */
  private arrivalShares(): readonly number[] {
    const { burst } = this.options
    const sinceMs = this.world.now - this.countsFrom
    const isBurst =
      burst !== undefined && sinceMs >= burst.fromMs && sinceMs < burst.fromMs + burst.forMs
    return KINDS.map(({ share }, kind) => {
      return isBurst && kind === burst.kind ? share * burst.factor : share
    })
  }

  private submit(shares: readonly number[]): SentJob {
    const kind = drawKind(this.random(), shares)
    const { tasks: meanTasks, runMs } = KINDS[kind] ?? { tasks: 1, runMs: 1 }
    const id = `j${this.workOf.size}`
    const workMs = runMs * spread(this.random, WORK_SPREAD)
    this.workOf.set(id, workMs)
    const tasks = Math.max(1, Math.round(meanTasks * spread(this.random, WORK_SPREAD)))
    const estimateMs = workMs * spread(this.random, ESTIMATE_SPREAD) * this.misjudgement(id)
    this.world.submit(id, tasks, { deadlineMs: DEADLINE_MS, estimateMs, queue: kind })
    return { id, kind, at: this.world.now, objectiveMs: STRETCH * workMs + TARGET_MS }
  }
}

/** Draws a log-normal factor of mean 1 whose logarithm has this standard deviation. */
function spread(random: () => number, deviation: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  return Math.exp(deviation * normal - deviation ** 2 / 2)
}

function difference(after: DispatchCounters, before: DispatchCounters): DispatchCounters {
  const entries = Object.entries(after) as [keyof DispatchCounters, number][]
  const changes = entries.map(([name, value]) => [name, value - before[name]])
  return Object.fromEntries(changes) as DispatchCounters
}

function drawKind(draw: number, shares: readonly number[]): number {
  let left = draw * shares.reduce((sum, share) => sum + share, 0)
  return shares.findIndex((share) => (left -= share) < 0)
}

function summarize(
  world: DispatchSimulation,
  sent: readonly SentJob[],
  countsFrom: number,
): Omit<LoadOutcome, 'counted'> {
  const ends = sent.map(({ id, kind, at, objectiveMs }) => {
    const ms = (world.answeredAt.get(id) ?? Infinity) - at
    const verdict = world.outcomes.get(id)?.verdict
    const isDone = verdict === JobVerdict.COMPLETED
    const isRefused = verdict === JobVerdict.REFUSED
    const isEarly = ms <= EARLY_SHARE * objectiveMs
    return {
      kind,
      atMs: at - countsFrom,
      served: isDone,
      inTime: isDone && ms <= objectiveMs,
      late: isDone && ms > objectiveMs && ms <= USEFUL_OBJECTIVES * objectiveMs,
      refusedEarly: isRefused && isEarly,
      refusedLate: isRefused && !isEarly,
    }
  })
  const share = (of: (end: (typeof ends)[number]) => boolean, among = ends): number => {
    return among.filter(of).length / Math.max(1, among.length)
  }
  const inTime = share((end) => end.inTime)
  const late = share((end) => end.late)
  const refusedEarly = share((end) => end.refusedEarly)
  const refusedLate = share((end) => end.refusedLate)
  return {
    inTime,
    inTimeByKind: KINDS.map((_, kind) => {
      return share(
        (end) => end.inTime,
        ends.filter((end) => end.kind === kind),
      )
    }),
    servedByKind: KINDS.map((_, kind) => {
      return share(
        (end) => end.served,
        ends.filter((end) => end.kind === kind),
      )
    }),
    jobs: ends,
    late,
    refusedEarly,
    refusedLate,
    unserved: 1 - inTime - late - refusedEarly - refusedLate,
    violations: world.violations,
  }
}
