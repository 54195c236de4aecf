import type { FreeRoom } from '../endpoints/EndpointRecord'
import type { Job } from '../jobs/Job'

/** Where a waiting job stands. @internal */
export interface JobPlace {
  /** The smallest goes first; of equal ones the one that came first. */
  readonly rank: number
  readonly arrival: number
  /** The last instant at which the rank holds. */
  readonly holdsUntil: number
}

/** A waiting job as it was when it last changed. */
interface QueuedJob extends JobPlace {
  readonly job: Job
  /** Tasks that wait, and what all of them want. */
  readonly tasks: number
  readonly needs: Readonly<FreeRoom>
  /** What the smallest of them wants, in thousandths of a core. */
  readonly leastCpuMillis: number
}

/**
 * The waiting jobs of one service in the order in which they get places. A job is put in its place
 * again when it changes; what a round asks of all of them is kept as sums.
 *
 * @internal
 */
export class JobQueue {
  readonly #queue: QueuedJob[] = []
  readonly #byJob = new Map<Job, QueuedJob>()
  readonly #newcomers = new Set<Job>()
  readonly #needs: FreeRoom = { cpuMillis: 0, memoryMb: 0, gpus: 0 }
  #tasks = 0
  #ranked: readonly Job[] | undefined
  /** No rank changes by itself before this. */
  #holdUntil = Infinity
  /** Undefined once the job that wanted the least is gone. */
  #leastCpuMillis: number | undefined = Infinity

  /** Tasks that wait. */
  get tasks(): number {
    return this.#tasks
  }

  /** Jobs over which nothing was decided yet. */
  get newcomers(): ReadonlySet<Job> {
    return this.#newcomers
  }

  /** All jobs, the first to get a place first. */
  get ranked(): readonly Job[] {
    this.#ranked ??= this.#queue.map(({ job }) => job)
    return this.#ranked
  }

  /** What a task of those that wait wants on average. */
  get meanNeeds(): Readonly<FreeRoom> {
    const { cpuMillis, memoryMb, gpus } = this.#needs
    const over = Math.max(1, this.#tasks)
    return { cpuMillis: cpuMillis / over, memoryMb: memoryMb / over, gpus: gpus / over }
  }

  /** What a waiting task wants at least, in thousandths of a core; Infinity when none waits. */
  get leastCpuMillis(): number {
    this.#leastCpuMillis ??= this.#queue.reduce((least, queued) => {
      return Math.min(least, queued.leastCpuMillis)
    }, Infinity)
    return this.#leastCpuMillis
  }

  /** Puts a job in its place, whether it waited here before or not. */
  set(job: Job, place: JobPlace): void {
    this.delete(job)
    const needs = needsOf(job)
    const tasks = job.waiting.length
    const leastCpuMillis = leastCpuOf(job)
    const { rank, arrival, holdsUntil } = place
    const queued = { job, rank, arrival, holdsUntil, tasks, needs, leastCpuMillis }
    this.#byJob.set(job, queued)
    this.#queue.splice(this.#placeOf(queued), 0, queued)
    this.#ranked = undefined
    this.#holdUntil = Math.min(this.#holdUntil, holdsUntil)
    this.#count(queued, 1)
    if (this.#leastCpuMillis !== undefined) {
      this.#leastCpuMillis = Math.min(this.#leastCpuMillis, leastCpuMillis)
    }
    if (job.isAdmitted) this.#newcomers.delete(job)
    else this.#newcomers.add(job)
  }

  delete(job: Job): void {
    const queued = this.#byJob.get(job)
    if (queued === undefined) return
    this.#byJob.delete(job)
    this.#newcomers.delete(job)
    this.#queue.splice(this.#placeOf(queued), 1)
    this.#ranked = undefined
    this.#count(queued, -1)
    if (queued.leastCpuMillis === this.#leastCpuMillis) this.#leastCpuMillis = undefined
  }

  /** It was decided over the newcomers. */
  noteDecided(): void {
    this.#newcomers.clear()
  }

  /** Jobs whose rank has changed by itself. */
  overdue(now: number): readonly Job[] {
    if (now <= this.#holdUntil) return []
    const overdue: Job[] = []
    this.#holdUntil = Infinity
    for (const { job, holdsUntil } of this.#queue) {
      if (holdsUntil < now) overdue.push(job)
      else this.#holdUntil = Math.min(this.#holdUntil, holdsUntil)
    }
    return overdue
  }

  /** Where a job stands, or has to be put in. */
  #placeOf({ rank, arrival }: QueuedJob): number {
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

  #count({ tasks, needs }: QueuedJob, sign: 1 | -1): void {
    this.#tasks += sign * tasks
    this.#needs.cpuMillis += sign * needs.cpuMillis
    this.#needs.memoryMb += sign * needs.memoryMb
    this.#needs.gpus += sign * needs.gpus
  }
}

/** What the waiting tasks of a job want together. */
function needsOf(job: Job): FreeRoom {
  const sum = { cpuMillis: 0, memoryMb: 0, gpus: 0 }
  for (const task of job.waiting) {
    const { needs } = job.step(task)
    sum.cpuMillis += needs?.cpuMillis ?? 0
    sum.memoryMb += needs?.memoryMb ?? 0
    sum.gpus += needs?.gpus ?? 0
  }
  return sum
}

function leastCpuOf(job: Job): number {
  let least = Infinity
  for (const task of job.waiting) least = Math.min(least, job.step(task).needs?.cpuMillis ?? 0)
  return least
}
