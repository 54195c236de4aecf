import type { DispatchCore } from '../DispatchCore'
import type { Job } from '../jobs/Job'
import type { JobBook } from '../jobs/JobBook'
import { JobQueue } from './JobQueue'
import type { JobOrder } from './JobOrder'

/** The jobs with waiting tasks, in one queue a service. @internal */
export class WaitingJobs {
  readonly #queues = new Map<string, JobQueue>()
  /** Number of each job that waits, by the order in which they came. */
  readonly #arrivals = new Map<Job, number>()
  #arrived = 0

  constructor(
    private readonly core: DispatchCore,
    private readonly jobs: JobBook,
    private readonly order: JobOrder,
  ) {}

  /** Takes in what has changed since the last call. */
  refresh(now: number): void {
    this.jobs.drainChanged((job) => {
      this.#refresh(now, job)
    })
    for (const queue of this.#queues.values()) {
      for (const job of queue.overdue(now)) this.#refresh(now, job)
    }
  }

  /** The queues by their services; some may be empty. */
  entries(): Iterable<[string, JobQueue]> {
    return this.#queues
  }

  #refresh(now: number, job: Job): void {
    const queue = this.#queueOf(job.route.service)
    if (!this.jobs.waiting.has(job)) {
      this.#arrivals.delete(job)
      queue.delete(job)
      return
    }
    const arrival = this.#arrivals.get(job) ?? ++this.#arrived
    this.#arrivals.set(job, arrival)
    this.core.counters.jobs_ranked++
    const rank = this.order.rank(now, job)
    const holdsUntil = this.order.rankHoldsUntil(now, job)
    queue.set(job, { rank, arrival, holdsUntil })
  }

  #queueOf(service: string): JobQueue {
    const known = this.#queues.get(service)
    if (known !== undefined) return known
    const queue = new JobQueue()
    this.#queues.set(service, queue)
    return queue
  }
}
