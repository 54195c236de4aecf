import type { EndpointCapacity } from '@cherryhitch/protocol'
import { DispatchActionKind, Stage } from '../DispatchAction'
import type { DispatchCore } from '../DispatchCore'
import { groupBy, Mechanism } from '@cherryhitch/model'
import type { JobBook } from '../jobs/JobBook'
import type { Job, Task } from '../jobs/Job'
import type { FreeRoom } from '../endpoints/EndpointRecord'
import type { RunTracker } from '../runs/RunTracker'
import type { JobOrder } from './JobOrder'
import type { JobAdmission, RefusedJob } from './JobAdmission'
import { ServicePlaces } from './ServicePlaces'
import { collectCandidates, pickEndpoint } from './pickEndpoint'
import type { Candidate } from './pickEndpoint'

/** What placing needs. @internal */
export interface SchedulerParts {
  readonly jobs: JobBook
  readonly runs: RunTracker
  readonly order: JobOrder
  readonly admission: JobAdmission
  /** Ends a job that is refused, as not run. */
  readonly refuse: (now: number, refused: RefusedJob) => void
}

/** What fitted on no endpoint in a round. */
interface FullRoom {
  needs: EndpointCapacity | undefined
}

/** Places waiting tasks on endpoints, in the order of their jobs. @internal */
export class Scheduler {
  #isDue = false

  constructor(
    private readonly core: DispatchCore,
    private readonly parts: SchedulerParts,
  ) {}

  /** Something changed that may let a task start. */
  wake(): void {
    this.#isDue = true
  }

  run(now: number): void {
    if (!this.#isDue || this.core.token === undefined) return
    this.#isDue = false
    if (this.parts.jobs.waiting.size === 0) return
    const waiting = this.#startable(now)
    if (waiting.length === 0) return
    this.core.counters.rounds++
    this.core.counters.jobs_ranked += waiting.length
    for (const [service, jobs] of groupBy(this.#rank(now, waiting), serviceOf)) {
      this.#admit(now, service, jobs)
      this.#placeAll(now, service, jobs)
    }
  }

  /** Jobs with waiting tasks that may start now. */
  #startable(now: number): Job[] {
    const waiting = [...this.parts.jobs.waiting]
    if (this.isSettled(now)) return waiting
    // A job that no earlier leader had can't run anywhere yet, so it needs not wait for that.
    const startsEarly = this.core.uses(Mechanism.EarlyNewJobs)
    return waiting.filter(({ isResumed }) => startsEarly && !isResumed)
  }

  #rank(now: number, jobs: readonly Job[]): readonly Job[] {
    return jobs
      .map((job) => ({ job, rank: this.parts.order.rank(now, job) }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ job }) => job)
  }

  #placeAll(now: number, service: string, ranked: readonly Job[]): void {
    const candidates = collectCandidates(now, this.core, service, leastCpu(ranked))
    if (candidates.length === 0) return
    const full: FullRoom = { needs: undefined }
    for (const job of ranked) if (!job.isClosed) this.#place(now, job, candidates, full)
  }

  /**
   * True once nothing can still run that an earlier leader started and this one doesn't know of:
   * every known endpoint has told what runs there, or all earlier leases have run out.
   */
  isSettled(now: number): boolean {
    const { token, earlierLeadersUntil, hasDirectory, timing, endpoints } = this.core
    if (token === undefined) return false
    const leaseMs = timing.leaderLeaseMs * (1 + timing.clockDrift)
    if (now >= earlierLeadersUntil + leaseMs) return true
    if (!hasDirectory) return false
    for (const { isAdopted, isReplaced } of endpoints.all()) {
      if (!isAdopted && !isReplaced) return false
    }
    return true
  }

  /** Takes new jobs in, or refuses them, as long as more wait than there is room for. */
  #admit(now: number, service: string, ranked: readonly Job[]): void {
    const places = new ServicePlaces(now, this.core, service, meanNeeds(ranked))
    const decision = this.parts.admission.decide(now, { ranked, places })
    const { admitted, refused, placesForecast } = decision
    this.core.counters.places_forecast += placesForecast
    for (const job of admitted) job.isAdmitted = true
    for (const one of refused) {
      this.core.log('a job gets no place in time', {
        job: one.job.id,
        lateByMs: Math.round(one.lateByMs),
        tasks: one.job.tasks.length,
        waitingJobs: ranked.length,
        places: places.all().length,
        freePlaces: places.free,
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
  #place(now: number, job: Job, candidates: readonly Candidate[], full: FullRoom): void {
    for (const task of job.waiting) {
      const { needs, requiredLabel, maxPerEndpoint } = job.step(task)
      if (needs === undefined) return
      if (full.needs !== undefined && covers(needs, full.needs)) return
      if (this.#placeTask(now, task, needs, candidates)) continue
      if (requiredLabel === '' && maxPerEndpoint === 0) full.needs = needs
      return
    }
  }

  #placeTask(
    now: number,
    task: Task,
    needs: EndpointCapacity,
    candidates: readonly Candidate[],
  ): boolean {
    const { job } = task
    const picked = pickEndpoint(task, needs, candidates, this.core.uses(Mechanism.CloseFit))
    if (picked === undefined) return false
    const { endpoint, slowness } = picked
    const expectedMs = job.runMs(task) * slowness
    if (!this.parts.runs.start(now, task, endpoint, expectedMs)) return false
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

function serviceOf({ route }: Job): string {
  return route.service
}

/** What a waiting task wants on average. */
function meanNeeds(jobs: readonly Job[]): Readonly<FreeRoom> {
  const sum = { cpuMillis: 0, memoryMb: 0, gpus: 0 }
  let count = 0
  for (const job of jobs) {
    for (const task of job.waiting) {
      const { needs } = job.step(task)
      if (needs === undefined) continue
      count++
      sum.cpuMillis += needs.cpuMillis
      sum.memoryMb += needs.memoryMb
      sum.gpus += needs.gpus
    }
  }
  const over = Math.max(1, count)
  return { cpuMillis: sum.cpuMillis / over, memoryMb: sum.memoryMb / over, gpus: sum.gpus / over }
}

/** The least that any waiting task wants, in thousandths of a core. */
function leastCpu(jobs: readonly Job[]): number {
  let least = Infinity
  for (const job of jobs) {
    for (const task of job.waiting) least = Math.min(least, job.step(task).needs?.cpuMillis ?? 0)
  }
  return least
}

/** True when one need is at least as large as another in every respect. */
function covers(needs: EndpointCapacity, other: EndpointCapacity): boolean {
  if (needs.cpuMillis < other.cpuMillis || needs.memoryMb < other.memoryMb) return false
  return needs.gpus >= other.gpus
}
