import { MinHeap } from '../util/MinHeap'
import type { IdealOrder, WaitingJob } from './IdealOrder'
import { LeastWorkOrder } from './IdealOrder'

/** One job of the load, as the ideal schedule needs it. @public */
export interface IdealJob {
  readonly submission: string
  readonly arrivalMs: number
  readonly tasks: readonly { readonly service: string; readonly runMs: number }[]
}

/** @public */
export interface IdealOptions {
  /** Slots of each service, over all availability zones. */
  readonly slots: ReadonlyMap<string, number>
  /**
   * The network's own part of every response, in milliseconds: caller to the system and back,
   * and the system to the endpoint and back. Nothing that the system itself does is in it.
   */
  readonly networkMs: number
  readonly order: IdealOrder
}

/** @public */
export const defaultIdealOptions: Omit<IdealOptions, 'slots'> = {
  networkMs: 0,
  order: new LeastWorkOrder(),
}

/** Ideal response times of one job, in milliseconds. @public */
export interface IdealTimes {
  readonly submission: string
  /** In the schedule, with the rest of the load; Infinity when a service has no slots. */
  readonly scheduledMs: number
  /** On an idle system: its longest task. No system can answer sooner. */
  readonly longestPathMs: number
}

/** The tasks that one job has for one service, longest first. */
class ServiceShare implements WaitingJob {
  unstartedMs: number
  endedAt = 0

  constructor(
    readonly place: number,
    readonly arrivalMs: number,
    private readonly runTimes: number[],
  ) {
    runTimes.sort((a, b) => a - b)
    this.unstartedMs = runTimes.reduce((sum, runMs) => sum + runMs, 0)
  }

  get hasUnstarted(): boolean {
    return this.runTimes.length > 0
  }

  /** Starts the longest task that has not started; returns when it ends. */
  startLongest(now: number): number {
    const runMs = this.runTimes.pop() ?? 0
    this.unstartedMs -= runMs
    const end = now + runMs
    this.endedAt = Math.max(this.endedAt, end)
    return end
  }
}

/** Response time of a job on an idle system with enough slots. @public */
export function longestPath(job: Pick<IdealJob, 'tasks'>, networkMs: number): number {
  return Math.max(0, ...job.tasks.map((task) => task.runMs)) + networkMs
}

/**
 * The yardstick for response times: a clairvoyant list schedule of the same work.
 *
 * It knows all true run times and nothing costs it any time but the network's own. Per service
 * it has one queue and all slots of all availability zones. It never leaves a slot idle while a
 * task waits, never stops a task that runs, and gives each freed slot to the waiting job that
 * the order puts first, whose longest unstarted task it starts. A job ends with its last task.
 *
 * It ignores racks, cores and memory, and failures. It is no lower bound for a single job,
 * because another order may favour that one; `longestPathMs` is one.
 *
 * @public
 */
export function idealSchedule(
  jobs: readonly IdealJob[],
  input: Partial<IdealOptions> & Pick<IdealOptions, 'slots'>,
): readonly IdealTimes[] {
  const options: IdealOptions = { ...defaultIdealOptions, ...input }
  const sharesByService = splitByService(jobs)
  for (const [service, shares] of sharesByService) {
    scheduleService(shares, options.slots.get(service) ?? 0, options.order)
  }
  const endings = new Map<number, number>()
  for (const { place, endedAt } of [...sharesByService.values()].flat()) {
    endings.set(place, Math.max(endings.get(place) ?? 0, endedAt))
  }
  return jobs.map((job, place) => ({
    submission: job.submission,
    scheduledMs: (endings.get(place) ?? job.arrivalMs) - job.arrivalMs + options.networkMs,
    longestPathMs: longestPath(job, options.networkMs),
  }))
}

/** In the order of arrival, per service. */
function splitByService(jobs: readonly IdealJob[]): Map<string, ServiceShare[]> {
  const shares = new Map<string, ServiceShare[]>()
  const byArrival = jobs.map((job, place) => ({ job, place }))
  byArrival.sort((a, b) => a.job.arrivalMs - b.job.arrivalMs || a.place - b.place)
  for (const { job, place } of byArrival) {
    const runTimes = new Map<string, number[]>()
    for (const { service, runMs } of job.tasks) {
      runTimes.set(service, [...(runTimes.get(service) ?? []), runMs])
    }
    for (const [service, times] of runTimes) {
      const list = shares.get(service) ?? []
      list.push(new ServiceShare(place, job.arrivalMs, times))
      shares.set(service, list)
    }
  }
  return shares
}

function scheduleService(shares: readonly ServiceShare[], slots: number, order: IdealOrder): void {
  if (slots < 1) {
    for (const share of shares) share.endedAt = Infinity
    return
  }
  const freeTimes = new MinHeap<number>((a, b) => a - b)
  for (let slot = 0; slot < slots; slot++) freeTimes.push(0)
  const waiting = new MinHeap<ServiceShare>((a, b) => order.compare(a, b))
  let arrived = 0
  let now = 0
  while (arrived < shares.length || waiting.size > 0) {
    now = Math.max(now, freeTimes.pop() ?? now)
    // With nothing waiting, the freed slot idles until the next arrival.
    if (waiting.size === 0) now = Math.max(now, shares[arrived]?.arrivalMs ?? now)
    for (let next = shares[arrived]; next !== undefined; next = shares[arrived]) {
      if (next.arrivalMs > now) break
      waiting.push(next)
      arrived++
    }
    freeTimes.push(startNext(waiting, now))
  }
}

/** Gives a free slot to the first waiting job; returns when the slot is free again. */
function startNext(waiting: MinHeap<ServiceShare>, now: number): number {
  const share = waiting.pop()
  if (share === undefined) return now
  const end = share.startLongest(now)
  if (share.hasUnstarted) waiting.push(share)
  return end
}
