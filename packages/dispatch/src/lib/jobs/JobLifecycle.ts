import { CrashSuspicion } from '@cherryhitch/policy'
import { JobVerdict, NoticeState } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import { Mechanism } from '@cherryhitch/model'
import { CrashDetector } from '../crashes/CrashDetector'
import { UnlistedTaskDetector } from '../crashes/UnlistedTaskDetector'
import type { LeaseLoop } from '../endpoints/LeaseLoop'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { OverrunDetector } from '../runs/OverrunDetector'
import { RunEnd } from '../runs/Run'
import type { Run } from '../runs/Run'
import { RunOutcomeRecorder } from '../runs/RunOutcomeRecorder'
import { RunTracker } from '../runs/RunTracker'
import type { RunListener } from '../runs/RunTracker'
import type { RefusedJob } from '../scheduling/JobAdmission'
import { areAllRunsKnown } from '../scheduling/areAllRunsKnown'
import { findUnservableJobs } from '../scheduling/findUnservableJobs'
import { retryAfter } from '../scheduling/retryAfter'
import { JobRegistry } from './JobRegistry'
import { jobIdOf } from './jobIdOf'
import { TaskState } from './Job'
import type { Job, Task } from './Job'

/** Attempts per task if the route does not set a number. */
const DEFAULT_ATTEMPTS = 3

/**
 * Drives jobs to their verdict: handles tasks that end, fail or overrun, and ends jobs that cannot
 * be completed.
 *
 * @internal
 */
export class JobLifecycle implements RunListener {
  readonly jobs: JobRegistry
  readonly runs: RunTracker
  readonly health: RunOutcomeRecorder
  readonly crashes: CrashDetector
  readonly unlisted: UnlistedTaskDetector
  readonly overruns: OverrunDetector
  /**
   * When tasks of earlier leaders were reported as done before their job was submitted to this
   * leader, by task name, oldest first.
   */
  readonly #completedUnderEarlierLeaders = new Map<string, number>()

  constructor(
    private readonly core: DispatchCore,
    leases: LeaseLoop,
    /** Called when a slot may have become free or a task may wait again. */
    private readonly onChange: () => void,
  ) {
    this.jobs = new JobRegistry(core)
    this.runs = new RunTracker(core, leases, this)
    this.health = new RunOutcomeRecorder(core)
    this.crashes = new CrashDetector(core, (now, id) => {
      const job = this.jobs.get(id)
      if (job !== undefined) this.endIfCrashSuspect(now, job)
    })
    this.unlisted = new UnlistedTaskDetector(core, this.crashes)
    this.overruns = new OverrunDetector(core, this.runs, this.health)
  }

  tick(now: number): void {
    this.runs.tick(now)
    this.jobs.tick(now)
    this.#endHopelessJobs(now)
    for (const [name, at] of this.#completedUnderEarlierLeaders) {
      if (now - at < this.core.timing.verdictRetentionMs) break
      this.#completedUnderEarlierLeaders.delete(name)
    }
  }

  /** Discards all jobs and runs after the loss of leadership. */
  clear(): void {
    this.jobs.dropAll(JobVerdict.LEADER_LOST, 'the leader stepped down')
    this.runs.clear()
    this.unlisted.clear()
    this.#completedUnderEarlierLeaders.clear()
  }

  onEndpointLost(now: number, endpoint: EndpointRecord): void {
    this.crashes.onEndpointLost(now, endpoint)
  }

  onIdleEndpointLost(now: number, endpoint: EndpointRecord): void {
    this.crashes.onIdleEndpointLost(now, endpoint)
  }

  /**
   * Ends the job if one of its tasks crashes the endpoints that run it (`FAILED`), or is suspected
   * to (`UNKNOWN`).
   */
  endIfCrashSuspect(now: number, job: Job): void {
    if (job.isClosed) return
    const judgement = this.crashes.assess(job)
    if (judgement === undefined) return
    const { standing, task } = judgement
    const { counters, losses } = this.core
    const endpoints = losses.endpointsOf(task.name)
    this.core.log('task is suspected of crashing endpoints', {
      job: job.id,
      task: task.name,
      standing,
      endpoints,
    })
    if (standing === CrashSuspicion.Culprit) {
      counters.jobs_blamed++
      this.end(now, job, JobVerdict.FAILED, `task ${task.name} takes its endpoint down`)
    } else {
      counters.jobs_held++
      const reason = `it is not known yet whether task ${task.name} takes its endpoint down`
      this.end(now, job, JobVerdict.UNKNOWN, reason)
    }
  }

  onRunOver(now: number, run: Run, end: RunEnd): void {
    this.onChange()
    const { task, endpoint } = run
    this.health.noteEnd(now, run, end)
    if (task === undefined) return
    if (end === RunEnd.Done) this.#onTaskDone(now, task)
    else this.#onTaskNotDone(now, task, endpoint, end)
  }

  onForeignDone(now: number, name: string): void {
    const task = this.#findTask(name)
    if (task === undefined) this.#completedUnderEarlierLeaders.set(name, now)
    else if (task.run === undefined && task.state !== TaskState.Done) this.#onTaskDone(now, task)
  }

  onForeignRun(now: number, run: Run): void {
    const task = this.#findTask(run.name)
    if (task?.run !== undefined || task?.state === TaskState.Done) return
    if (task !== undefined) this.#restore(now, task.job, task)
  }

  /** Continues a job that is new to this leader from the state that an earlier leader left. */
  resume(now: number, job: Job): void {
    for (const task of job.tasks) this.#restore(now, job, task)
    job.unblock()
    if (job.isDone) this.jobs.close(now, job, JobVerdict.COMPLETED, { reason: 'done before' })
    else this.unlisted.onJob(now, job)
  }

  /**
   * Looks for tasks of earlier leaders that no endpoint lists: they may have run on an endpoint
   * that is gone.
   */
  findUnlistedTasks(now: number): void {
    this.unlisted.check(now, this.jobs.open)
  }

  /**
   * Closes a job with a verdict and stops its runs. A job that an earlier leader may be running is
   * never refused, since that says that it has not run: its outcome is unknown.
   */
  end(now: number, job: Job, verdict: JobVerdict, reason: string, retryAfterMs = 0): void {
    const running = job.tasks.flatMap(({ run }) => run ?? [])
    if (verdict === JobVerdict.REFUSED && this.#mayRunElsewhere(now, job)) {
      const more = `${reason}, and an earlier leader may have started it`
      this.jobs.close(now, job, JobVerdict.UNKNOWN, { reason: more })
    } else {
      this.jobs.close(now, job, verdict, { reason, retryAfterMs })
    }
    for (const run of running) this.runs.stop(now, run, reason)
    this.onChange()
  }

  /** Refuses a job that would get its slots too late, so that its caller need not wait. */
  refuseByAdmission(now: number, { job, lateByMs, isBeyondShare }: RefusedJob): void {
    this.core.counters.refused_at_door++
    if (isBeyondShare) this.core.counters.refused_by_share++
    const reason = isBeyondShare
      ? 'no place becomes free in time, and its queue uses its share'
      : 'no place becomes free in time'
    this.end(now, job, JobVerdict.REFUSED, reason, retryAfter(job.id, lateByMs))
  }

  /**
   * Refuses the jobs of services whose endpoints are all in drained zones: they would wait until
   * their deadline.
   */
  refuseInDrainedServices(now: number): void {
    const served = servicesOutsideDrainedZones(this.core)
    for (const job of [...this.jobs.waiting]) {
      if (job.hasStarted || served.has(job.route.service)) continue
      const reason = 'all endpoints of the service are in drained zones'
      this.end(now, job, JobVerdict.REFUSED, reason, retryAfter(job.id, Infinity))
    }
  }

  #mayRunElsewhere(now: number, { hasUnknownOrigin }: Job): boolean {
    return hasUnknownOrigin && !areAllRunsKnown(now, this.core)
  }

  #findTask(name: string): Task | undefined {
    return this.jobs.get(jobIdOf(name))?.tasks.find((task) => task.name === name)
  }

  /** Restores the state of a task that an earlier leader started or that is already done. */
  #restore(now: number, job: Job, task: Task): void {
    if (this.runs.adopt(now, task)) job.hasStarted = true
    else if (this.#completedUnderEarlierLeaders.delete(task.name))
      job.setTaskState(task, TaskState.Done)
  }

  #onTaskDone(now: number, task: Task): void {
    const { job } = task
    job.setTaskState(task, TaskState.Done)
    if (job.isClosed) this.jobs.removeIfFinished(job)
    else if (job.isDone) this.jobs.close(now, job, JobVerdict.COMPLETED, { reason: 'all done' })
    else job.unblock()
  }

  #onTaskNotDone(now: number, task: Task, endpoint: EndpointRecord, end: RunEnd): void {
    const { job } = task
    job.setTaskState(task, TaskState.Waiting)
    if (end === RunEnd.Failed) task.failures++
    if (end === RunEnd.Lost) job.anomalies.lostRuns++
    const avoids = this.core.isEnabled(Mechanism.Avoidance)
    if (end !== RunEnd.NotRun && avoids) task.avoidedEndpoints.add(endpoint.id)
    if (job.isClosed) {
      this.jobs.removeIfFinished(job)
      return
    }
    if (end === RunEnd.Lost) this.endIfCrashSuspect(now, job)
    const attempts = job.route.maxAttempts === 0 ? DEFAULT_ATTEMPTS : job.route.maxAttempts
    if (task.failures >= attempts) {
      this.end(now, job, JobVerdict.FAILED, `task ${task.name} failed ${task.failures} times`)
    }
  }

  #endHopelessJobs(now: number): void {
    const hasLateService = this.core.hasLateService
    const unservable = findUnservableJobs(now, this.jobs.open, hasLateService)
    for (const { job, verdict, reason, retryAfterMs } of unservable) {
      this.end(now, job, verdict, reason, retryAfterMs)
    }
    if (this.core.isEnabled(Mechanism.Overrun)) this.overruns.tick(now, this.jobs.open)
  }
}

function servicesOutsideDrainedZones(core: DispatchCore): ReadonlySet<string> {
  const services = new Set<string>()
  for (const endpoint of core.endpoints.all()) {
    const isServing = endpoint.notice.state === NoticeState.SERVING && !endpoint.isReplaced
    if (isServing && !core.isInDrainedZone(endpoint)) services.add(endpoint.service)
  }
  return services
}
