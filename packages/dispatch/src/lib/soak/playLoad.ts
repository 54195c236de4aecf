import { seededRandom } from '@cherryhitch/model'
import type { Mechanism } from '@cherryhitch/model'
import { JobVerdict } from '@cherryhitch/protocol'
import type { DispatchCounters } from '../DispatchCore'
import type { JobAdmission } from '../scheduling/JobAdmission'
import type { JobOrder } from '../scheduling/JobOrder'
import { DispatchWorld } from './DispatchWorld'
import type { LeaderCosts } from './PayingLeader'

/** A kind of job: how many tasks, and how long each takes. */
interface JobKind {
  readonly tasks: number
  readonly runMs: number
  /** Of a hundred jobs so many are of this kind. */
  readonly share: number
}

/** Kinds of the users' sheets: quick and wide, long, and the many small ones. */
const KINDS: readonly JobKind[] = [
  { tasks: 8, runMs: 60, share: 24.5 },
  { tasks: 4, runMs: 900, share: 4.5 },
  { tasks: 2, runMs: 200, share: 71 },
]
/** Standard deviations of logarithms on the sheets: of the work, of its estimate, within a job. */
const WORK_SPREAD = 0.4
const ESTIMATE_SPREAD = 0.4
const TASK_SPREAD = 0.15
const STRETCH = 1.6
const TARGET_MS = 60
/** A late answer has a use up to so many times the objective. */
const USEFUL_OBJECTIVES = 3
const DEADLINE_MS = 1_500
const PLACES_EACH = 2
/** Until the estimates are learnt, in milliseconds; what comes then isn't counted. */
const WARM_UP_MS = 2_000
const LEARN_LOAD = 0.6
/** A refusal is early within this share of the objective. */
const EARLY_SHARE = 0.25

/** @internal */
export interface LoadOptions {
  /** Arriving work over what the places can do. */
  readonly load: number
  readonly seed?: number
  readonly order?: JobOrder
  readonly admission?: JobAdmission
  readonly without?: readonly Mechanism[]
  /** Share of the orders that get no answer and are carried out late. */
  readonly lateOrder?: number
  readonly endpoints?: number
  /** How long jobs come at this load, in milliseconds. */
  readonly playMs?: number
  /** What the leader's work costs it; its decisions take no time by default. */
  readonly costs?: LeaderCosts
}

/** The size of the users' small sites. @internal */
export const defaultLoadOptions = { seed: 1, lateOrder: 0, endpoints: 33, playMs: 9_000 } as const

/** Shares of the jobs, 0 to 1. @internal */
export interface LoadOutcome {
  readonly inTime: number
  readonly inTimeByKind: readonly number[]
  readonly late: number
  readonly refusedEarly: number
  readonly refusedLate: number
  /** Heard nothing of use: neither an answer within three objectives nor a refusal. */
  readonly unserved: number
  /** What the dispatcher counted while jobs came at this load. */
  readonly counted: Readonly<DispatchCounters>
  readonly violations: readonly string[]
}

interface SentJob {
  readonly id: string
  readonly kind: number
  readonly at: number
  readonly objectiveMs: number
}

/**
 * Plays the mix of the users' sheets, at a share of what the places can do, against one
 * dispatcher: work, its estimates and tasks within a job spread as the sheets say.
 *
 * @internal
 */
export function playLoad(options: LoadOptions): LoadOutcome {
  const { load, seed, order, admission, without, lateOrder, endpoints, playMs, costs } = {
    without: [],
    ...defaultLoadOptions,
    ...options,
  }
  const random = seededRandom(seed)
  const normal = (): number =>
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  const spread = (deviation: number): number => Math.exp(deviation * normal() - deviation ** 2 / 2)
  const workOf = new Map<string, number>()
  const world = new DispatchWorld({
    leaders: 1,
    endpoints,
    placesEach: PLACES_EACH,
    random,
    without,
    chances: { lateOrder },
    runMs: (task) => (workOf.get(task.split('.')[0] ?? '') ?? 0) * spread(TASK_SPREAD),
    ...(order !== undefined && { order }),
    ...(admission !== undefined && { admission }),
    ...(costs !== undefined && { costs }),
  })
  world.elect(0, 0)
  world.run(200)
  const meanWork =
    KINDS.reduce((sum, { tasks, runMs, share }) => sum + tasks * runMs * share, 0) / 100
  const gapMs = (load_: number): number => meanWork / (endpoints * PLACES_EACH * load_)
  const sent: SentJob[] = []
  const submit = (): SentJob => {
    const kind = drawKind(random())
    const { tasks: meanTasks, runMs } = KINDS[kind] ?? { tasks: 1, runMs: 1 }
    const id = `j${workOf.size}`
    const workMs = runMs * spread(WORK_SPREAD)
    workOf.set(id, workMs)
    const tasks = Math.max(1, Math.round(meanTasks * spread(WORK_SPREAD)))
    const estimateMs = workMs * spread(ESTIMATE_SPREAD)
    world.submit(id, tasks, { deadlineMs: DEADLINE_MS, estimateMs, queue: kind })
    return { id, kind, at: world.now, objectiveMs: STRETCH * workMs + TARGET_MS }
  }
  while (world.now < WARM_UP_MS) {
    submit()
    world.run(-gapMs(LEARN_LOAD) * Math.log(1 - random()))
  }
  const before = { ...world.counters }
  while (world.now < WARM_UP_MS + playMs) {
    sent.push(submit())
    world.run(-gapMs(load) * Math.log(1 - random()))
  }
  const counted = difference(world.counters, before)
  world.run(2 * DEADLINE_MS)
  return { ...summarize(world, sent), counted }
}

function difference(after: DispatchCounters, before: DispatchCounters): DispatchCounters {
  const entries = Object.entries(after) as [keyof DispatchCounters, number][]
  const changes = entries.map(([name, value]) => [name, value - before[name]])
  return Object.fromEntries(changes) as DispatchCounters
}

function drawKind(draw: number): number {
  let left = draw * 100
  return KINDS.findIndex(({ share }) => (left -= share) < 0)
}

function summarize(world: DispatchWorld, sent: readonly SentJob[]): Omit<LoadOutcome, 'counted'> {
  const ends = sent.map(({ id, kind, at, objectiveMs }) => {
    const ms = (world.answeredAt.get(id) ?? Infinity) - at
    const verdict = world.outcomes.get(id)?.verdict
    const isDone = verdict === JobVerdict.COMPLETED
    const isRefused = verdict === JobVerdict.REFUSED
    const isEarly = ms <= EARLY_SHARE * objectiveMs
    return {
      kind,
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
    late,
    refusedEarly,
    refusedLate,
    unserved: 1 - inTime - late - refusedEarly - refusedLate,
    violations: world.violations,
  }
}
