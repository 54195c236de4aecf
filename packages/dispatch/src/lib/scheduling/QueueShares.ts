import { maxMinShares } from '@cherryhitch/policy'
import type { ShareClaim } from '@cherryhitch/policy'
import type { Job } from '../jobs/Job'
import type { QueueLoad } from './QueueUsage'

/** What a queue is sure of and what it uses, in thousandths of a core. @internal */
export interface QueueShare {
  readonly shareCpuMillis: number
  readonly usedCpuMillis: number
  /** Free CPU that its jobs beyond its share, and its late ones, leave for more urgent queues. */
  readonly headroomCpuMillis: number
}

/** The waiting jobs of a service in the order in which they get slots. @internal */
export interface OrderedJobs {
  readonly ranked: readonly Job[]
  /**
   * Jobs beyond the share of their queue, with the milliseconds until that share has room for them.
   */
  readonly beyondShare: ReadonlyMap<Job, number>
  /** Share and use of each queue, by the name of its route; empty without contention. */
  readonly shares: ReadonlyMap<string, QueueShare>
}

/** The jobs and the capacity of a service that are to be divided. @internal */
export interface QueueDemand {
  /** Waiting jobs, by rank. */
  readonly ranked: readonly Job[]
  /** Load of each queue, by the name of its route. */
  readonly queues: ReadonlyMap<string, QueueLoad>
  /** CPU of the service, free or used, in thousandths of a core. */
  readonly capacityCpuMillis: number
}

/** Divides the slots of a service among its queues. @internal */
export abstract class QueueShares {
  /** Whether the order depends on what each queue uses, which then has to be kept up to date. */
  abstract readonly needsUsage: boolean
  abstract order(demand: QueueDemand): OrderedJobs
}

/** All queues compete on equal terms. @internal */
export class NoShares extends QueueShares {
  override readonly needsUsage = false

  override order({ ranked }: Pick<QueueDemand, 'ranked'>): OrderedJobs {
    return { ranked, beyondShare: new Map(), shares: new Map() }
  }
}

/** Ratio of the weights of two adjacent priorities. */
const WEIGHT_RATIO = 2
/**
 * Upper bounds on the steps by which the weights of successive priorities differ, and those of any
 * two. Priorities can be any 32-bit numbers, and the weights of distant ones would be 0.
 */
const MAX_STEPS_BETWEEN = 4
const MAX_STEPS = 20
/** Demand above this share of the capacity counts as contention: jobs then wait for each other. */
const CONTENDED_SHARE = 0.9
/**
 * Free CPU that is left for more urgent queues, as a share of their mean demand. Runs are not
 * preempted, so without it their next jobs would find all slots taken.
 */
const HEADROOM_SHARE = 0.3

/**
 * Weighted max-min shares by priority, under contention only. Jobs in progress go first, since the
 * work spent on them is lost otherwise. Then come the jobs within the share of their queue, by rank,
 * and then those beyond it, by priority, which use what the others leave. Late jobs go last.
 *
 * @internal
 */
export class PriorityShares extends QueueShares {
  override readonly needsUsage = true
  readonly #withoutContention = new NoShares()

  override order({ ranked, queues, capacityCpuMillis }: QueueDemand): OrderedJobs {
    const shares = computeShares(queues, capacityCpuMillis)
    if (shares === undefined) return this.#withoutContention.order({ ranked })
    const claimed = new Map<string, number>()
    for (const [name, { usedCpuMillis }] of shares) claimed.set(name, usedCpuMillis)
    const inProgress: Job[] = []
    const within: Job[] = []
    const beyondShare = new Map<Job, number>()
    const late: Job[] = []
    for (const job of ranked) {
      if (job.lateSince !== undefined) {
        late.push(job)
        continue
      }
      const { name } = job.route
      const share = shares.get(name)?.shareCpuMillis ?? 0
      const claimedCpuMillis = (claimed.get(name) ?? 0) + job.waitingCpuMillis
      claimed.set(name, claimedCpuMillis)
      if (job.isInProgress) inProgress.push(job)
      else if (claimedCpuMillis <= share) within.push(job)
      else beyondShare.set(job, shareWaitMs(job, share, claimedCpuMillis))
    }
    const beyond = [...beyondShare.keys()].sort((a, b) => a.route.priority - b.route.priority)
    return { ranked: [...inProgress, ...within, ...beyond, ...late], beyondShare, shares }
  }
}

/**
 * Milliseconds until the share of a queue has room for a job, if its runs are about as long as
 * those of the jobs before it.
 */
function shareWaitMs(job: Job, shareCpuMillis: number, claimedCpuMillis: number): number {
  if (shareCpuMillis <= 0) return Infinity
  return ((claimedCpuMillis - shareCpuMillis) / shareCpuMillis) * job.remainingMs()
}

/** @returns undefined without contention */
function computeShares(
  queues: ReadonlyMap<string, QueueLoad>,
  capacity: number,
): ReadonlyMap<string, QueueShare> | undefined {
  let demand = 0
  for (const { meanCpuMillis } of queues.values()) demand += meanCpuMillis
  if (demand <= CONTENDED_SHARE * capacity) return undefined
  const shares = new Map<string, QueueShare>()
  const weights = weightsOf(queues)
  for (const [name, load] of queues) {
    shares.set(name, {
      shareCpuMillis: shareOf(name, queues, weights, capacity),
      usedCpuMillis: load.placedCpuMillis,
      headroomCpuMillis: headroomFor(load, queues),
    })
  }
  return shares
}

/** Weights by priority; the most urgent one has weight 1. */
function weightsOf(queues: ReadonlyMap<string, QueueLoad>): ReadonlyMap<number, number> {
  const priorities = [...queues.values()].map(({ priority }) => priority).sort((a, b) => a - b)
  const weights = new Map<number, number>()
  let steps = 0
  let previous = priorities[0] ?? 0
  for (const priority of priorities) {
    steps = Math.min(MAX_STEPS, steps + Math.min(MAX_STEPS_BETWEEN, priority - previous))
    weights.set(priority, WEIGHT_RATIO ** -steps)
    previous = priority
  }
  return weights
}

/** The most that a queue can use while the others use what they did on average. */
function shareOf(
  name: string,
  queues: ReadonlyMap<string, QueueLoad>,
  weights: ReadonlyMap<number, number>,
  capacity: number,
): number {
  const claims: ShareClaim[] = []
  let own = 0
  for (const [other, { priority, meanCpuMillis }] of queues) {
    const isOwn = other === name
    if (isOwn) own = claims.length
    const weight = weights.get(priority) ?? 1
    claims.push({ weight, demand: isOwn ? Infinity : meanCpuMillis })
  }
  return maxMinShares(capacity, claims)[own] ?? 0
}

function headroomFor({ priority }: QueueLoad, queues: ReadonlyMap<string, QueueLoad>): number {
  let urgent = 0
  for (const other of queues.values()) {
    if (other.priority < priority) urgent += other.meanCpuMillis
  }
  return HEADROOM_SHARE * urgent
}
