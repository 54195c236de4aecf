import type { FreeCapacity } from '../endpoints/EndpointRecord'
import type { Job } from '../jobs/Job'
import { QueueUsage } from './QueueUsage'

/** Position of a job in a queue. @internal */
export interface QueuePosition {
  /** The smallest rank goes first; equal ranks go in the order of arrival. */
  readonly rank: number
  readonly arrival: number
  /** The last instant at which the rank is valid. */
  readonly rankValidUntil: number
}

/** A waiting job with its values as of its last change. */
interface QueuedJob extends QueuePosition {
  readonly job: Job
  /** Number of waiting tasks, and the sum of their resource needs. */
  readonly tasks: number
  readonly needs: Readonly<FreeCapacity>
  /** Least CPU need of one of them, in thousandths of a core. */
  readonly minCpuMillis: number
}

/**
 * The waiting jobs of one service, sorted by rank. A job is re-inserted when it changes; totals
 * over all jobs are maintained incrementally, so that a scheduling round does not have to recompute
 * them.
 *
 * @internal
 */
export class JobQueue {
  /** What the open jobs of the service use and wait for, by queue. */
  readonly usage = new QueueUsage()
  readonly #queue: QueuedJob[] = []
  readonly #byJob = new Map<Job, QueuedJob>()
  readonly #undecided = new Set<Job>()
  readonly #needs: FreeCapacity = { cpuMillis: 0, memoryMb: 0, gpus: 0 }
  #waitingTasks = 0
  #ranked: readonly Job[] | undefined
  /** No rank expires before this time. */
  #ranksValidUntil = Infinity
  /** Undefined, to be recomputed, once the job with the least need was removed. */
  #minCpuMillis: number | undefined = Infinity

  /** Number of waiting tasks. */
  get waitingTasks(): number {
    return this.#waitingTasks
  }

  /** Jobs without an admission decision so far. */
  get undecided(): ReadonlySet<Job> {
    return this.#undecided
  }

  /** All jobs by rank, the next one to be placed first. */
  get ranked(): readonly Job[] {
    this.#ranked ??= this.#queue.map(({ job }) => job)
    return this.#ranked
  }

  /** Mean resource needs of a waiting task. */
  get meanNeeds(): Readonly<FreeCapacity> {
    const { cpuMillis, memoryMb, gpus } = this.#needs
    const count = Math.max(1, this.#waitingTasks)
    return { cpuMillis: cpuMillis / count, memoryMb: memoryMb / count, gpus: gpus / count }
  }

  /** Least CPU need of a waiting task, in thousandths of a core; Infinity when none waits. */
  get minCpuMillis(): number {
    this.#minCpuMillis ??= this.#queue.reduce((least, queued) => {
      return Math.min(least, queued.minCpuMillis)
    }, Infinity)
    return this.#minCpuMillis
  }

  /** Inserts a job, or moves it to its new position. */
  set(job: Job, position: QueuePosition): void {
    this.delete(job)
    const needs = totalNeedsOf(job)
    const tasks = job.waiting.length
    const minCpuMillis = minCpuMillisOf(job)
    const { rank, arrival, rankValidUntil } = position
    const queued = { job, rank, arrival, rankValidUntil, tasks, needs, minCpuMillis }
    this.#byJob.set(job, queued)
    this.#queue.splice(this.#indexOf(queued), 0, queued)
    this.#ranked = undefined
    this.#ranksValidUntil = Math.min(this.#ranksValidUntil, rankValidUntil)
    this.#addToTotals(queued, 1)
    if (this.#minCpuMillis !== undefined) {
      this.#minCpuMillis = Math.min(this.#minCpuMillis, minCpuMillis)
    }
    if (job.isAdmitted) this.#undecided.delete(job)
    else this.#undecided.add(job)
  }

  delete(job: Job): void {
    const queued = this.#byJob.get(job)
    if (queued === undefined) return
    this.#byJob.delete(job)
    this.#undecided.delete(job)
    this.#queue.splice(this.#indexOf(queued), 1)
    this.#ranked = undefined
    this.#addToTotals(queued, -1)
    if (queued.minCpuMillis === this.#minCpuMillis) this.#minCpuMillis = undefined
  }

  /** Notes that admission has decided on these jobs. */
  noteDecided(jobs: Iterable<Job>): void {
    for (const job of jobs) this.#undecided.delete(job)
  }

  /** Jobs whose rank is no longer valid at this time. */
  jobsWithExpiredRank(now: number): readonly Job[] {
    if (now <= this.#ranksValidUntil) return []
    const expired: Job[] = []
    this.#ranksValidUntil = Infinity
    for (const { job, rankValidUntil } of this.#queue) {
      if (rankValidUntil < now) expired.push(job)
      else this.#ranksValidUntil = Math.min(this.#ranksValidUntil, rankValidUntil)
    }
    return expired
  }

  /** Index of a job in the sorted queue, or the index at which to insert it. */
  #indexOf({ rank, arrival }: QueuedJob): number {
    let low = 0
    let high = this.#queue.length
    while (low < high) {
      const middle = (low + high) >>> 1
      const other = this.#queue[middle]
      const isBefore =
        other !== undefined &&
        (other.rank < rank || (other.rank === rank && other.arrival < arrival))
      if (isBefore) low = middle + 1
      else high = middle
    }
    return low
  }

  #addToTotals({ tasks, needs }: QueuedJob, sign: 1 | -1): void {
    this.#waitingTasks += sign * tasks
    this.#needs.cpuMillis += sign * needs.cpuMillis
    this.#needs.memoryMb += sign * needs.memoryMb
    this.#needs.gpus += sign * needs.gpus
  }
}

/** Sum of the resource needs of a job's waiting tasks. */
function totalNeedsOf(job: Job): FreeCapacity {
  const sum = { cpuMillis: 0, memoryMb: 0, gpus: 0 }
  for (const task of job.waiting) {
    const { needs } = job.step(task)
    sum.cpuMillis += needs?.cpuMillis ?? 0
    sum.memoryMb += needs?.memoryMb ?? 0
    sum.gpus += needs?.gpus ?? 0
  }
  return sum
}

function minCpuMillisOf(job: Job): number {
  let least = Infinity
  for (const task of job.waiting) least = Math.min(least, job.step(task).needs?.cpuMillis ?? 0)
  return least
}
