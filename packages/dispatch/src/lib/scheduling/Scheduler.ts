import type { EndpointCapacity } from '@cherryhitch/protocol'
import { DispatchActionKind, Stage } from '../DispatchAction'
import type { DispatchCore } from '../DispatchCore'
import type { JobBook } from '../jobs/JobBook'
import type { Job, Task } from '../jobs/Job'
import type { RunTracker } from '../runs/RunTracker'
import type { JobOrder } from './JobOrder'
import { collectCandidates, pickEndpoint } from './pickEndpoint'
import type { Candidate } from './pickEndpoint'

/** Places waiting tasks on endpoints, in the order of their jobs. @internal */
export class Scheduler {
  #isDue = false

  constructor(
    private readonly core: DispatchCore,
    private readonly jobs: JobBook,
    private readonly runs: RunTracker,
    private readonly order: JobOrder,
  ) {}

  /** Something changed that may let a task start. */
  wake(): void {
    this.#isDue = true
  }

  run(now: number): void {
    if (!this.#isDue || this.core.token === undefined) return
    this.#isDue = false
    // A job that no earlier leader had can't run anywhere yet, so it needs not wait for that.
    const isSettled = this.isSettled(now)
    const waiting = this.jobs.open().filter((job) => {
      return job.waiting.length > 0 && (isSettled || !job.isResumed)
    })
    if (waiting.length === 0) return
    const ranked = waiting
      .map((job) => ({ job, rank: this.order.rank(now, job) }))
      .sort((a, b) => a.rank - b.rank)
    const candidates = collectCandidates(now, this.core)
    const full = new Map<string, EndpointCapacity>()
    for (const { job } of ranked) {
      this.#place(now, job, candidates.get(job.route.service) ?? [], full)
    }
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
    return [...endpoints.all()].every((endpoint) => endpoint.isAdopted || endpoint.isReplaced)
  }

  /**
   * Places what fits of a job.
   *
   * @param full - by service, what fitted nowhere in this round: nothing larger is tried again, so
   *   that a long queue costs little while there is no room
   */
  #place(
    now: number,
    job: Job,
    candidates: readonly Candidate[],
    full: Map<string, EndpointCapacity>,
  ): void {
    const { service } = job.route
    for (const task of job.waiting) {
      const { needs, requiredLabel, maxPerEndpoint } = job.step(task)
      const tooLarge = full.get(service)
      if (needs === undefined || (tooLarge !== undefined && covers(needs, tooLarge))) return
      if (this.#placeTask(now, task, needs, candidates)) continue
      if (requiredLabel === '' && maxPerEndpoint === 0) full.set(service, needs)
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
    const picked = pickEndpoint(task, needs, candidates)
    if (picked === undefined) return false
    const { endpoint, slowness } = picked
    const expectedMs = job.runMs(task) * slowness
    if (!this.runs.start(now, task, endpoint, expectedMs)) return false
    if (job.firstStartAt === undefined) this.#noteFirstStart(now, job)
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
