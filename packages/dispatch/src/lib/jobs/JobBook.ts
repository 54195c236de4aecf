import { JobVerdict } from '@cherryhitch/protocol'
import type { Route, SteppedJob, SubmitJob } from '@cherryhitch/protocol'
import { DispatchActionKind, Stage } from '../DispatchAction'
import { estimateSubject } from '../DispatchCore'
import type { DispatchCore, OutcomeFields } from '../DispatchCore'
import { Mechanism } from '@cherryhitch/model'
import { startMargin } from '../scheduling/latestStart'
import { Job, longestChain, TaskState } from './Job'
import type { JobWaiter, Task } from './Job'

interface EndedJob {
  readonly verdict: JobVerdict
  readonly reason: string
  readonly endedAt: number
}

/** Run numbers that one leader may use for a task before those of the next one begin. */
const RUNS_PER_LEADER = 16
/** Ended jobs remembered at most; about three minutes of the users' heaviest load. */
const MAX_ENDED = 20_000

/** The jobs that are open here, and the verdicts of those that ended lately. @internal */
export class JobBook {
  readonly #jobs = new Map<string, Job>()
  /** Those that somebody waits for, and of them those with tasks that wait for an endpoint. */
  readonly #open = new Set<Job>()
  readonly #waiting = new Set<Job>()
  /** Those that came, changed or went since they were last handed out. */
  readonly #changed = new Set<Job>()
  readonly #ended = new Map<string, EndedJob>()
  /** Which job each open request waits for. */
  readonly #requests = new Map<string, Job>()

  constructor(private readonly core: DispatchCore) {}

  get size(): number {
    return this.#jobs.size
  }

  /** Jobs that somebody waits for; they may be closed while it is gone through. */
  get open(): ReadonlySet<Job> {
    return this.#open
  }

  /** Those of them with tasks that wait for an endpoint. */
  get waiting(): ReadonlySet<Job> {
    return this.#waiting
  }

  get(id: string): Job | undefined {
    return this.#jobs.get(id)
  }

  ended(id: string): EndedJob | undefined {
    return this.#ended.get(id)
  }

  /**
   * Notes that a job was cancelled which is not known here: an entry may still hand it over, since
   * an earlier leader had it.
   */
  noteCancelled(now: number, id: string): void {
    // One that has ended here keeps its verdict, or it would be run once more when it is sent again.
    if (this.#ended.has(id)) return
    this.#remember(now, id, JobVerdict.CANCELLED, 'cancelled by its caller')
  }

  requested(instance: string, requestId: string): Job | undefined {
    return this.#requests.get(requestKey({ instance, requestId }))
  }

  /** Makes a job of a request, or revives one that was given up and whose runs still end. */
  take(now: number, spec: SteppedJob, route: Route, req: SubmitJob): Job {
    const deadlineAt = now + req.remainingMs
    const known = this.#jobs.get(spec.jobId)
    if (known !== undefined) {
      known.isClosed = false
      this.#noteOpen(known)
      known.deadlineAt = Math.max(known.deadlineAt, deadlineAt)
      return known
    }
    const stepMs = spec.steps.map(({ estimateMs }) => this.#estimate(route, estimateMs))
    const keepsMargin = this.core.uses(Mechanism.StartMargin)
    const job = new Job({
      id: spec.jobId,
      route,
      spec,
      arrivedAt: now - req.waitedMs,
      deadlineAt,
      stepMs,
      startMarginMs: keepsMargin ? startMargin(route, longestChain(spec.steps, stepMs)) : 0,
      firstRun: req.earlierAttempts * RUNS_PER_LEADER,
      isResumed: req.earlierAttempts > 0,
      onMove: (changed) => {
        if (this.#open.has(changed)) this.#noteOpen(changed)
      },
    })
    this.#jobs.set(job.id, job)
    this.#noteOpen(job)
    this.#ended.delete(job.id)
    this.core.counters.jobs_taken++
    return job
  }

  wait(job: Job, waiter: JobWaiter): void {
    job.waiters.push(waiter)
    this.#requests.set(requestKey(waiter), job)
  }

  /** The caller is gone; gives the job when nobody waits for it any more. */
  leave(instance: string, requestId: string): Job | undefined {
    const job = this.requested(instance, requestId)
    if (job === undefined) return undefined
    this.#requests.delete(requestKey({ instance, requestId }))
    const at = job.waiters.findIndex((waiter) => {
      return waiter.instance === instance && waiter.requestId === requestId
    })
    job.waiters.splice(at, 1)
    return job.waiters.length === 0 ? job : undefined
  }

  /** Gives all who wait the verdict; the job stays until nothing of it runs. */
  close(
    now: number,
    job: Job,
    verdict: JobVerdict,
    more: OutcomeFields & { reason: string },
  ): void {
    if (job.isClosed) return
    job.isClosed = true
    this.#open.delete(job)
    this.#waiting.delete(job)
    this.#changed.add(job)
    for (const waiter of job.waiters) {
      this.core.answer(waiter, verdict, more)
      this.#requests.delete(requestKey(waiter))
    }
    job.waiters.length = 0
    this.#count(verdict)
    this.#report(now, job, verdict, more.reason)
    // What truly did not run may be sent again as if it had never come.
    if (verdict !== JobVerdict.REFUSED) this.#remember(now, job.id, verdict, more.reason)
    this.removeIfOver(job)
  }

  removeIfOver(job: Job): void {
    if (!job.isClosed || job.tasks.some(({ run }) => run !== undefined)) return
    this.#jobs.delete(job.id)
  }

  /** All of it goes: another instance leads. */
  dropAll(verdict: JobVerdict, reason: string): void {
    for (const job of this.#jobs.values()) {
      for (const waiter of job.waiters) this.core.answer(waiter, verdict, { reason })
    }
    for (const job of this.#waiting) this.#changed.add(job)
    this.#jobs.clear()
    this.#open.clear()
    this.#waiting.clear()
    this.#requests.clear()
    this.#ended.clear()
  }

  pendingOf(route: Route): number {
    let pending = 0
    for (const job of this.#open) {
      if (job.route.name === route.name && !job.hasStarted) pending++
    }
    return pending
  }

  /** Hands out the jobs that may wait for endpoints, or did, and have changed since the last call. */
  drainChanged(visit: (job: Job) => void): void {
    for (const job of this.#changed) visit(job)
    this.#changed.clear()
  }

  #noteOpen(job: Job): void {
    this.#open.add(job)
    this.#changed.add(job)
    if (job.waiting.length > 0) this.#waiting.add(job)
    else this.#waiting.delete(job)
  }

  tick(now: number): void {
    const { keepVerdictMs } = this.core.timing
    for (const [id, { endedAt }] of this.#ended) {
      if (now - endedAt < keepVerdictMs && this.#ended.size <= MAX_ENDED) return
      this.#ended.delete(id)
    }
  }

  #estimate(route: Route, declaredMs: number): number {
    return this.core.estimator.estimate(estimateSubject(route, declaredMs))
  }

  #remember(now: number, id: string, verdict: JobVerdict, reason: string): void {
    this.#ended.delete(id)
    this.#ended.set(id, { verdict, reason, endedAt: now })
  }

  #count(verdict: JobVerdict): void {
    const { counters } = this.core
    if (verdict === JobVerdict.COMPLETED) counters.jobs_completed++
    else if (verdict === JobVerdict.FAILED) counters.jobs_failed++
    else if (verdict === JobVerdict.REFUSED) counters.jobs_refused++
    else counters.jobs_unknown++
  }

  #report(now: number, job: Job, verdict: JobVerdict, reason: string): void {
    const { route, arrivedAt, firstStartAt, lastStartAt, objectiveAt, chainMs, tasks } = job
    const ms = Math.round(now - arrivedAt)
    this.core.emit({ kind: DispatchActionKind.Measure, stage: Stage.Whole, route: route.name, ms })
    this.core.log('a job ended', {
      job: job.id,
      route: route.name,
      verdict: JobVerdict[verdict],
      reason,
      ms,
      queuedMs: firstStartAt === undefined ? undefined : Math.round(firstStartAt - arrivedAt),
      lastStartMs: lastStartAt === undefined ? undefined : Math.round(lastStartAt - arrivedAt),
      overdueMs: Math.round(now - objectiveAt),
      coreMs: Math.round(job.workMs),
      estimateMs: Math.round(chainMs),
      tasks: tasks.length,
      unfinished: tasks.filter(({ state }) => state !== TaskState.Done).length,
      failures: tasks.reduce((sum: number, task: Task) => sum + task.failures, 0),
      ...job.mishaps,
      ...(job.isResumed && { isResumed: true }),
      endpoints: [...job.endpointsUsed],
      term: this.core.term,
      open: this.#jobs.size,
    })
  }
}

function requestKey({ instance, requestId }: JobWaiter): string {
  return `${instance}/${requestId}`
}
