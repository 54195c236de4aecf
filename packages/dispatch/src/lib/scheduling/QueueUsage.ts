import type { Job } from '../jobs/Job'

/** What the jobs of one queue use and wait for, in thousandths of a core. @internal */
export interface QueueLoad {
  readonly priority: number
  readonly placedCpuMillis: number
  readonly waitingCpuMillis: number
  /** Mean of what it used and waited for recently. */
  readonly meanCpuMillis: number
}

interface JobLoad {
  readonly queue: string
  readonly placed: number
  readonly waiting: number
}

/** A load whose mean includes the time until `meanAt`. */
type MutableLoad = { -readonly [K in keyof QueueLoad]: QueueLoad[K] } & {
  meanAt: number
  /** Arrival of the newest job, whose route gives the priority. */
  newestAt: number
}

/** Age at which a load counts 1/e of the present one, in milliseconds. */
const MEAN_TAU_MS = 1_000
/** Queues without jobs are forgotten when their mean falls below this. */
const LEAST_MEAN_CPU_MILLIS = 1

/**
 * The use of one service by queue. It is derived from the open jobs alone: a next leader gets it
 * back with the jobs and runs that it takes over. Queues without jobs are forgotten within seconds.
 *
 * @internal
 */
export class QueueUsage {
  readonly #byJob = new Map<Job, JobLoad>()
  readonly #byQueue = new Map<string, MutableLoad>()
  #capacityCpuMillis: number | undefined

  /** CPU of the service, free or used; undefined until it is known. */
  get capacityCpuMillis(): number | undefined {
    return this.#capacityCpuMillis
  }

  /** Updates the capacity from the free CPU and what the queues use now. */
  setFreeCpuMillis(freeCpuMillis: number): void {
    let capacity = freeCpuMillis
    for (const { placedCpuMillis } of this.#byQueue.values()) capacity += placedCpuMillis
    this.#capacityCpuMillis = capacity
  }

  /** Adds an open job, or updates what it uses and waits for. */
  set(now: number, job: Job): void {
    const before = this.#byJob.get(job)
    const { placedCpuMillis: placed, waitingCpuMillis: waiting, route } = job
    if (before?.placed === placed && before.waiting === waiting) return
    const load = { queue: route.name, placed, waiting }
    this.delete(now, job)
    if (placed + waiting === 0) return
    this.#byJob.set(job, load)
    this.#add(now, job, load, 1)
  }

  delete(now: number, job: Job): void {
    const load = this.#byJob.get(job)
    if (load === undefined) return
    this.#byJob.delete(job)
    this.#add(now, job, load, -1)
  }

  /** Loads by name of the queue's route. */
  queues(now: number): ReadonlyMap<string, QueueLoad> {
    for (const [name, load] of this.#byQueue) {
      updateMean(now, load)
      const isIdle = load.placedCpuMillis + load.waitingCpuMillis === 0
      if (isIdle && load.meanCpuMillis < LEAST_MEAN_CPU_MILLIS) this.#byQueue.delete(name)
    }
    return this.#byQueue
  }

  #add(
    now: number,
    { route, arrivedAt }: Job,
    { queue, placed, waiting }: JobLoad,
    sign: 1 | -1,
  ): void {
    const load = this.#byQueue.get(queue) ?? makeLoad(now, route.priority)
    this.#byQueue.set(queue, load)
    if (arrivedAt >= load.newestAt) {
      load.priority = route.priority
      load.newestAt = arrivedAt
    }
    updateMean(now, load)
    load.placedCpuMillis += sign * placed
    load.waitingCpuMillis += sign * waiting
  }
}

function makeLoad(now: number, priority: number): MutableLoad {
  const newestAt = -Infinity
  return {
    priority,
    placedCpuMillis: 0,
    waitingCpuMillis: 0,
    meanCpuMillis: 0,
    meanAt: now,
    newestAt,
  }
}

function updateMean(now: number, load: MutableLoad): void {
  const present = load.placedCpuMillis + load.waitingCpuMillis
  const weight = 1 - Math.exp((load.meanAt - now) / MEAN_TAU_MS)
  load.meanCpuMillis += weight * (present - load.meanCpuMillis)
  load.meanAt = now
}
