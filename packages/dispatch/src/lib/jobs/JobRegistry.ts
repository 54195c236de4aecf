import { JobVerdict } from '@cherryhitch/protocol'
import type { Route, SteppedJob, SubmitJob } from '@cherryhitch/protocol'
import { DispatchActionKind, Stage } from '../DispatchAction'
import { estimateSubject } from '../DispatchCore'
import type { DispatchCore, OutcomeFields } from '../DispatchCore'
import { Mechanism } from '@cherryhitch/model'
import { startMargin } from '../scheduling/latestStart'
import { EarlierJobs } from '../takeover/EarlierJobs'
import { JobOrigin } from '../takeover/JobOrigin'
import { Job, computeCriticalPathMs, TaskState } from './Job'
import type { JobWaiter, Task } from './Job'

interface EndedJob {
  readonly verdict: JobVerdict
  readonly reason: string
  readonly endedAt: number
  /** Earlier leaders that may have started the job. */
  readonly earlierAttempts: number
}

/** Run numbers reserved per task for each leader; the next leader starts after them. */
const RUNS_PER_LEADER = 16
/** Maximum number of retained verdicts: about three minutes at the highest load of our users. */
const MAX_RETAINED_VERDICTS = 20_000

/** The open jobs of this leader, and the verdicts of recently ended ones. @internal */
export class JobRegistry {
  /** What is known of the jobs of earlier leaders. */
  readonly earlierJobs: EarlierJobs
  readonly #jobs = new Map<string, Job>()
  /** Jobs without a verdict. */
  readonly #open = new Set<Job>()
  /** Open jobs with tasks that wait for an endpoint. */
  readonly #waiting = new Set<Job>()
  /** Jobs that were added, changed or closed since the last `drainChanged`. */
  readonly #changed = new Set<Job>()
  readonly #ended = new Map<string, EndedJob>()
  /** The job that each open request waits for. */
  readonly #requests = new Map<string, Job>()

  constructor(private readonly core: DispatchCore) {
    this.earlierJobs = new EarlierJobs(core)
  }

  get size(): number {
    return this.#jobs.size
  }

  /** All jobs, with those that have a verdict but still a run to end. */
  all(): Iterable<Job> {
    return this.#jobs.values()
  }

  /** Jobs without a verdict. Jobs may be closed during iteration. */
  get open(): ReadonlySet<Job> {
    return this.#open
  }

  /** Open jobs with tasks that wait for an endpoint. */
  get waiting(): ReadonlySet<Job> {
    return this.#waiting
  }

  get(id: string): Job | undefined {
    return this.#jobs.get(id)
  }

  endedJob(id: string): EndedJob | undefined {
    return this.#ended.get(id)
  }

  /**
   * Records the cancellation of a job that this leader does not know. An earlier leader may have
   * had it, in which case an entry may still submit it here.
   */
  recordCancelled(now: number, id: string): void {
    // An ended job keeps its verdict; otherwise a repeated request would run it again.
    if (this.#ended.has(id)) return
    this.#retainVerdict(id, {
      verdict: JobVerdict.CANCELLED,
      reason: 'cancelled by its caller',
      endedAt: now,
      earlierAttempts: 0,
    })
  }

  jobOfRequest(instance: string, requestId: string): Job | undefined {
    return this.#requests.get(requestKey({ instance, requestId }))
  }

  /** Creates the job of a request, or reopens a closed one that still has runs to end. */
  accept(now: number, spec: SteppedJob, route: Route, req: SubmitJob): Job {
    const deadlineAt = now + req.remainingMs
    const known = this.#jobs.get(spec.jobId)
    if (known !== undefined) {
      known.isClosed = false
      this.#updateIndexes(known)
      known.deadlineAt = Math.max(known.deadlineAt, deadlineAt)
      return known
    }
    const arrivedAt = now - req.waitedMs
    const origin = this.earlierJobs.originOf(now, spec.jobId, arrivedAt)
    const earlierAttempts = this.#earlierAttempts(spec, req, origin)
    const isResumed = earlierAttempts > 0
    const hasUnknownOrigin = !isResumed && origin === JobOrigin.Unknown
    const earlierLeaders = hasUnknownOrigin ? this.earlierJobs.attempts : earlierAttempts
    const stepMs = spec.steps.map(({ estimateMs }) => this.#estimate(route, estimateMs))
    const keepsMargin = this.core.isEnabled(Mechanism.StartMargin)
    const job = new Job({
      id: spec.jobId,
      route,
      spec,
      arrivedAt,
      deadlineAt,
      stepMs,
      startMarginMs: keepsMargin
        ? startMargin(route, computeCriticalPathMs(spec.steps, stepMs))
        : 0,
      firstRun: earlierLeaders * RUNS_PER_LEADER,
      isResumed,
      hasUnknownOrigin,
      earlierAttempts,
      onTaskStateChange: (changed) => {
        if (this.#open.has(changed)) this.#updateIndexes(changed)
      },
    })
    this.#jobs.set(job.id, job)
    this.#updateIndexes(job)
    this.#ended.delete(job.id)
    this.core.counters.jobs_taken++
    const isFoundListed = origin === JobOrigin.Earlier && req.earlierAttempts === 0
    if (isFoundListed) this.core.counters.jobs_found_listed++
    if (hasUnknownOrigin) this.core.counters.jobs_of_unknown_origin++
    return job
  }

  /** Earlier leaders that may have started the job of a request. */
  #earlierAttempts({ jobId }: SteppedJob, req: SubmitJob, origin: JobOrigin): number {
    // A caller that repeats an ended job names no earlier leader, but a run of one may go on.
    const endedAttempts = this.#ended.get(jobId)?.earlierAttempts ?? 0
    const listedAttempts = origin === JobOrigin.Earlier ? this.earlierJobs.attempts : 0
    return Math.max(req.earlierAttempts, endedAttempts, listedAttempts)
  }

  addWaiter(job: Job, waiter: JobWaiter): void {
    job.waiters.push(waiter)
    this.#requests.set(requestKey(waiter), job)
  }

  /** Removes the request of a caller that left; returns its job if no request waits for it. */
  removeWaiter(instance: string, requestId: string): Job | undefined {
    const job = this.jobOfRequest(instance, requestId)
    if (job === undefined) return undefined
    this.#requests.delete(requestKey({ instance, requestId }))
    const index = job.waiters.findIndex((waiter) => {
      return waiter.instance === instance && waiter.requestId === requestId
    })
    job.waiters.splice(index, 1)
    return job.waiters.length === 0 ? job : undefined
  }

  /** Sends the verdict to all waiting requests. The job is kept until none of its tasks runs. */
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
    if (job.lateSince !== undefined) this.#noteLateOutcome(now, job, verdict)
    this.#logEnd(now, job, verdict, more.reason)
    // A refused job did not run, so a repeated request for it counts as a new one.
    if (verdict !== JobVerdict.REFUSED) {
      const { earlierAttempts } = job
      this.#retainVerdict(job.id, { verdict, reason: more.reason, endedAt: now, earlierAttempts })
    }
    this.removeIfFinished(job)
  }

  removeIfFinished(job: Job): void {
    if (!job.isClosed || job.tasks.some(({ run }) => run !== undefined)) return
    this.#jobs.delete(job.id)
  }

  /** Removes all jobs after the loss of leadership, and answers the waiting requests. */
  dropAll(verdict: JobVerdict, reason: string): void {
    for (const job of this.#jobs.values()) {
      for (const waiter of job.waiters) this.core.answer(waiter, verdict, { reason })
    }
    for (const job of this.#open) this.#changed.add(job)
    this.#jobs.clear()
    this.#open.clear()
    this.#waiting.clear()
    this.#requests.clear()
    this.#ended.clear()
  }

  /** Number of open jobs of a route that have not started. */
  countPending(route: Route): number {
    let pending = 0
    for (const job of this.#open) {
      if (job.route.name === route.name && !job.hasStarted) pending++
    }
    return pending
  }

  /** Visits the jobs that were added, changed or closed since the last call. */
  drainChanged(visit: (job: Job) => void): void {
    for (const job of this.#changed) visit(job)
    this.#changed.clear()
  }

  #updateIndexes(job: Job): void {
    this.#open.add(job)
    this.#changed.add(job)
    if (job.waiting.length > 0) this.#waiting.add(job)
    else this.#waiting.delete(job)
  }

  tick(now: number): void {
    const { verdictRetentionMs } = this.core.timing
    for (const [id, { endedAt }] of this.#ended) {
      if (now - endedAt < verdictRetentionMs && this.#ended.size <= MAX_RETAINED_VERDICTS) return
      this.#ended.delete(id)
    }
  }

  #estimate(route: Route, declaredMs: number): number {
    return this.core.estimator.estimate(estimateSubject(route, declaredMs))
  }

  #retainVerdict(id: string, ended: EndedJob): void {
    this.#ended.delete(id)
    this.#ended.set(id, ended)
  }

  #noteLateOutcome(now: number, { route }: Job, verdict: JobVerdict): void {
    const { counters, lateOutcomes } = this.core
    const isWithoutSlots = verdict !== JobVerdict.CANCELLED && verdict !== JobVerdict.FAILED
    if (verdict === JobVerdict.COMPLETED) counters.late_completed++
    else if (isWithoutSlots) counters.late_given_up++
    lateOutcomes.note(now, route.service, verdict)
  }

  #count(verdict: JobVerdict): void {
    const { counters } = this.core
    if (verdict === JobVerdict.COMPLETED) counters.jobs_completed++
    else if (verdict === JobVerdict.FAILED) counters.jobs_failed++
    else if (verdict === JobVerdict.REFUSED) counters.jobs_refused++
    else counters.jobs_unknown++
  }

  #logEnd(now: number, job: Job, verdict: JobVerdict, reason: string): void {
    const { route, arrivedAt, firstStartAt, lastStartAt, objectiveAt, criticalPathMs, tasks } = job
    const ms = Math.round(now - arrivedAt)
    this.core.emit({ kind: DispatchActionKind.Measure, stage: Stage.Total, route: route.name, ms })
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
      estimateMs: Math.round(criticalPathMs),
      tasks: tasks.length,
      unfinished: tasks.filter(({ state }) => state !== TaskState.Done).length,
      failures: tasks.reduce((sum: number, task: Task) => sum + task.failures, 0),
      ...job.anomalies,
      ...(job.isResumed && { isResumed: true }),
      ...(job.hasUnknownOrigin && { hasUnknownOrigin: true }),
      endpoints: [...job.endpointsUsed],
      term: this.core.term,
      open: this.#jobs.size,
    })
  }
}

function requestKey({ instance, requestId }: Pick<JobWaiter, 'instance' | 'requestId'>): string {
  return `${instance}/${requestId}`
}
