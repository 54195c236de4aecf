import { Mechanism } from '@cherryhitch/model'
import type { EndpointCapacity } from '@cherryhitch/protocol'
import { DispatchActionKind, Stage } from '../DispatchAction'
import type { UnlistedTasks } from '../crashes/UnlistedTasks'
import type { DispatchCore } from '../DispatchCore'
import type { Job, Task } from '../jobs/Job'
import type { JobBook } from '../jobs/JobBook'
import type { RunTracker } from '../runs/RunTracker'
import { EndpointIndex } from './EndpointIndex'
import type { JobAdmission, RefusedJob } from './JobAdmission'
import type { JobOrder } from './JobOrder'
import { isSettled } from './isSettled'
import type { JobQueue } from './JobQueue'
import type { ServiceEndpoints } from './ServiceEndpoints'
import { ServicePlaces } from './ServicePlaces'
import { WaitingJobs } from './WaitingJobs'

/** What placing needs. @internal */
export interface SchedulerParts {
  readonly jobs: JobBook
  readonly runs: RunTracker
  readonly order: JobOrder
  readonly admission: JobAdmission
  readonly unlisted: UnlistedTasks
  /** Ends a job that is refused, as not run. */
  readonly refuse: (now: number, refused: RefusedJob) => void
}

/** What fitted on no endpoint in a round. */
interface FullRoom {
  needs: EndpointCapacity | undefined
}

/**
 * Jobs that were admitted are looked at again this often, in milliseconds, when none is new: places
 * may have been lost meanwhile, and a caller that learns it so soon can still go elsewhere.
 */
const REVIEW_MS = 10

/** Places waiting tasks on endpoints, in the order of their jobs. @internal */
export class Scheduler {
  readonly #endpoints: EndpointIndex
  readonly #waiting: WaitingJobs
  #isDue = false
  #reviewDueAt = -Infinity

  constructor(
    private readonly core: DispatchCore,
    private readonly parts: SchedulerParts,
  ) {
    this.#endpoints = new EndpointIndex(core)
    this.#waiting = new WaitingJobs(core, parts.jobs, parts.order)
  }

  /** Something changed that may let a task start. */
  wake(): void {
    this.#isDue = true
  }

  /** Takes in what has changed, so that nothing that is gone is held on to while nothing waits. */
  refresh(now: number): void {
    this.#endpoints.refresh(now)
    this.#waiting.refresh(now)
  }

  run(now: number): void {
    if (!this.#isDue || this.core.term === undefined) return
    this.#isDue = false
    if (this.parts.jobs.waiting.size === 0) return
    this.refresh(now)
    const mayResume = this.parts.unlisted.isDone && isSettled(now, this.core)
    const isReviewDue = now >= this.#reviewDueAt
    if (isReviewDue) this.#reviewDueAt = now + REVIEW_MS
    this.core.counters.rounds++
    for (const [service, queue] of this.#waiting.entries()) {
      const ranked = mayResume ? queue.ranked : this.#startable(queue)
      if (ranked.length === 0) continue
      const endpoints = this.#endpoints.of(service)
      if (isReviewDue || queue.newcomers.size > 0) this.#admit(now, queue, ranked, endpoints)
      this.#placeAll(now, queue, ranked, endpoints)
    }
  }

  /** A job that no earlier leader had can't run anywhere yet, so it needs not wait for that. */
  #startable(queue: JobQueue): readonly Job[] {
    if (!this.core.uses(Mechanism.EarlyNewJobs)) return []
    return queue.ranked.filter(({ isResumed }) => !isResumed)
  }

  /** Ends as soon as no endpoint has room for the smallest task that waits. */
  #placeAll(
    now: number,
    queue: JobQueue,
    ranked: readonly Job[],
    endpoints: ServiceEndpoints,
  ): void {
    const { open } = endpoints
    const { leastCpuMillis } = queue
    const full: FullRoom = { needs: undefined }
    for (const job of ranked) {
      if (open.size === 0 || open.mostCpuMillis < leastCpuMillis) return
      if (!job.isClosed) this.#place(now, job, endpoints, full)
    }
  }

  /** Takes new jobs in, or refuses them, as long as more wait than there is room for. */
  #admit(now: number, queue: JobQueue, ranked: readonly Job[], endpoints: ServiceEndpoints): void {
    const places = new ServicePlaces(now, endpoints, queue.meanNeeds)
    const newcomers = [...queue.newcomers]
    const input = { ranked, newcomers, waitingTasks: queue.tasks, places }
    const { admitted, refused, placesForecast } = this.parts.admission.decide(now, input)
    queue.noteDecided()
    this.core.counters.places_forecast += placesForecast
    for (const job of admitted) job.isAdmitted = true
    for (const one of refused) {
      this.core.log('a job gets no place in time', {
        job: one.job.id,
        lateByMs: Math.round(one.lateByMs),
        tasks: one.job.tasks.length,
        waitingJobs: ranked.length,
        places: places.size,
        freePlaces: places.free(Infinity),
      })
      this.parts.refuse(now, one)
    }
  }

  /**
   * Places what fits of a job.
   *
   * @param full - what fitted nowhere in this round: nothing larger is tried again, so that a long
   *   queue costs little while there is no room
   */
  #place(now: number, job: Job, endpoints: ServiceEndpoints, full: FullRoom): void {
    for (const task of job.waiting) {
      const { needs, requiredLabel, maxPerEndpoint } = job.step(task)
      if (needs === undefined) return
      if (full.needs !== undefined && covers(needs, full.needs)) return
      if (this.#placeTask(now, task, needs, endpoints)) continue
      if (requiredLabel === '' && maxPerEndpoint === 0) full.needs = needs
      return
    }
  }

  #placeTask(
    now: number,
    task: Task,
    needs: EndpointCapacity,
    { open }: ServiceEndpoints,
  ): boolean {
    const { job } = task
    this.core.counters.endpoints_visited += open.size
    const picked = open.pick(task, needs, this.core.uses(Mechanism.CloseFit))
    if (picked === undefined) return false
    const { endpoint, slowness } = picked
    const expectedMs = job.runMs(task) * slowness
    if (!this.parts.runs.start(now, task, endpoint, expectedMs)) return false
    this.#endpoints.refreshChanged(now)
    if (job.firstStartAt === undefined) this.#noteFirstStart(now, job)
    job.lastStartAt = now
    job.hasStarted = true
    job.endpointsUsed.add(endpoint.id)
    return true
  }

  #noteFirstStart(now: number, job: Job): void {
    job.firstStartAt = now
    this.core.emit({
      kind: DispatchActionKind.Measure,
      stage: Stage.Queue,
      route: job.route.name,
      ms: now - job.arrivedAt,
    })
  }
}

/** True when one need is at least as large as another in every respect. */
function covers(needs: EndpointCapacity, other: EndpointCapacity): boolean {
  if (needs.cpuMillis < other.cpuMillis || needs.memoryMb < other.memoryMb) return false
  return needs.gpus >= other.gpus
}
