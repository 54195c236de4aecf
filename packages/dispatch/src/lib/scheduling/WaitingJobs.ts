import type { DispatchCore } from '../DispatchCore'
import type { Job } from '../jobs/Job'
import type { JobRegistry } from '../jobs/JobRegistry'
import { JobQueue } from './JobQueue'
import type { QueuePosition } from './JobQueue'
import type { QueuePolicy } from './QueuePolicy'

/** Bases of the ranks of late jobs, in milliseconds; above all ranks of the queue policies. */
const LATE_IN_PROGRESS_RANK_BASE = 2e15
const LATE_SERVICE_RANK_BASE = 3e15

/** The jobs with waiting tasks, in one queue per service. @internal */
export class WaitingJobs {
  readonly #queues = new Map<string, JobQueue>()
  /** Sequence number of each waiting job's arrival. */
  readonly #arrivals = new Map<Job, number>()
  #lastArrival = 0

  constructor(
    private readonly core: DispatchCore,
    private readonly jobs: JobRegistry,
    private readonly queuePolicy: QueuePolicy,
    private readonly tracksUsage: boolean,
  ) {}

  /** Applies all changes since the last call. */
  refresh(now: number): void {
    this.jobs.drainChanged((job) => {
      this.#refresh(now, job)
    })
    for (const queue of this.#queues.values()) {
      for (const job of queue.jobsWithExpiredRank(now)) this.#refresh(now, job)
    }
  }

  /** Services with their queues; some may be empty. */
  entries(): Iterable<[string, JobQueue]> {
    return this.#queues
  }

  #refresh(now: number, job: Job): void {
    const queue = this.#queueOf(job.route.service)
    if (this.tracksUsage) this.#trackUsage(now, job, queue)
    if (!this.jobs.waiting.has(job)) {
      this.#arrivals.delete(job)
      queue.delete(job)
      return
    }
    const arrival = this.#arrivals.get(job) ?? ++this.#lastArrival
    this.#arrivals.set(job, arrival)
    this.core.counters.jobs_ranked++
    queue.set(job, { ...this.#rank(now, job), arrival })
  }

  #trackUsage(now: number, job: Job, { usage }: JobQueue): void {
    if (this.jobs.open.has(job)) usage.set(now, job)
    else usage.delete(now, job)
  }

  /** Late jobs go last whatever the policy, in the order in which they became late. */
  #rank(now: number, job: Job): Omit<QueuePosition, 'arrival'> {
    const { lateSince, isInProgress } = job
    if (lateSince === undefined) {
      const rank = this.queuePolicy.rank(now, job)
      return { rank, rankValidUntil: this.queuePolicy.rankValidUntil(now, job) }
    }
    const rank = (isInProgress ? LATE_IN_PROGRESS_RANK_BASE : LATE_SERVICE_RANK_BASE) + lateSince
    return { rank, rankValidUntil: Infinity }
  }

  #queueOf(service: string): JobQueue {
    const known = this.#queues.get(service)
    if (known !== undefined) return known
    const queue = new JobQueue()
    this.#queues.set(service, queue)
    return queue
  }
}
