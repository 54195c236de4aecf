import { create } from '@bufbuild/protobuf'
import { NoticeState, PossibleLossSchema, UnansweredJobSchema } from '@cherryhitch/protocol'
import type { UnansweredJob } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { TaskState } from '../jobs/Job'
import type { Job } from '../jobs/Job'
import { areAllRunsKnown } from '../scheduling/areAllRunsKnown'
import type { CrashDetector } from './CrashDetector'
import { groupsAmong, isShared } from './groupsOf'

/** Endpoints that an earlier leader may have used, and that have not answered this one. */
interface MissingEndpoints {
  readonly ids: readonly string[]
  readonly isShared: boolean
}

/**
 * Finds tasks of earlier leaders that may have been lost without any record: those that were not
 * done and that no endpoint reports, while endpoints are missing. Each of them may be the cause of
 * such a loss, and so runs apart from other tasks when it is restarted.
 *
 * This covers leaders that terminate without a handover just after a task has crashed its endpoint.
 * It costs nothing during a leader's term, since the absence of a reported run is what counts as
 * evidence of a start.
 *
 * @internal
 */
export class UnlistedTaskDetector {
  /** Undefined until all endpoints have reported their runs, or were found to be missing. */
  #missing: MissingEndpoints | undefined
  /** Jobs of earlier leaders discovered before `#missing` is set; some may have ended since. */
  readonly #earlier = new Map<string, UnansweredJob>()
  /** Replaced endpoints that were removed before `#missing` is set, with the time of removal. */
  readonly #removed = new Map<EndpointRecord, number>()

  constructor(
    private readonly core: DispatchCore,
    private readonly crashes: CrashDetector,
  ) {}

  /** Whether the missing endpoints are known; tasks of earlier leaders are restarted only then. */
  get isDone(): boolean {
    return this.#missing !== undefined
  }

  /** Resets the state for a new term. */
  clear(): void {
    this.#missing = undefined
    this.#earlier.clear()
  }

  /** An endpoint is being removed from the registry. */
  onEndpointRemoved(now: number, endpoint: EndpointRecord): void {
    if (this.#missing === undefined && endpoint.isReplaced) this.#removed.set(endpoint, now)
  }

  /** Determines the missing endpoints once a term, as soon as all have had the time to answer. */
  check(now: number, jobs: Iterable<Job>): void {
    if (this.#missing !== undefined || !this.#haveAllBeenAsked(now)) return
    this.#missing = this.#findMissing(now)
    if (this.#missing.ids.length === 0) {
      this.crashes.clearPossibleLoss(now, this.core.term ?? 0)
      return
    }
    const open = [...jobs].filter(({ isResumed }) => isResumed)
    for (const { id } of open) this.#earlier.delete(id)
    this.#recordPossibleLoss(now, open.flatMap(unlistedTasks), [...this.#earlier.values()])
    this.#earlier.clear()
  }

  /** A job arrived that was not known here. */
  onJob(now: number, job: Job): void {
    if (this.#missing !== undefined) {
      if (job.isResumed) this.#recordPossibleLoss(now, unlistedTasks(job), [])
      return
    }
    const { id: jobId, isResumed } = job
    const earlier = this.#earlier.get(jobId)
    if (isResumed) {
      const times = (earlier?.times ?? 0) + 1
      this.#earlier.set(jobId, create(UnansweredJobSchema, { jobId, times }))
    } else if (earlier !== undefined) {
      // Its caller has resubmitted it: it starts before the missing endpoints are known.
      this.#recordPossibleLoss(now, [], [earlier])
    }
  }

  /**
   * An entry instance gave up these jobs, which it had submitted to an earlier leader; their
   * callers may resubmit them.
   */
  onUnansweredJobs(now: number, jobs: readonly UnansweredJob[]): void {
    if (this.#missing !== undefined) this.#recordPossibleLoss(now, [], jobs)
    else for (const job of jobs) this.#earlier.set(job.jobId, job)
  }

  #haveAllBeenAsked(now: number): boolean {
    if (!areAllRunsKnown(now, this.core)) return false
    for (const { isSynced, isReplaced, unanswered } of this.core.endpoints.all()) {
      if (!isSynced && !isReplaced && unanswered === 0) return false
    }
    return true
  }

  #findMissing(now: number): MissingEndpoints {
    const { losses } = this.core
    const all = [...this.core.endpoints.all(), ...this.#takeRemoved(now)]
    const missing = all.filter((endpoint) => this.#isMissing(endpoint))
    const reported = [...groupsAmong(missing, all)].filter(([{ id }]) => losses.wasResponsive(id))
    this.crashes.addGroups(now, new Map(reported.map(([{ id }, groups]) => [id, groups])))
    const unknown = missing.filter(({ id }) => !losses.has(id))
    const groups = [...groupsAmong(unknown, all).values()]
    return { ids: unknown.map(({ id }) => id), isShared: groups.every(isShared) }
  }

  /** Includes endpoints removed in an earlier term that ended before its check. */
  #takeRemoved(now: number): EndpointRecord[] {
    const { endpointExpiryMs } = this.core.timing
    const lately = [...this.#removed].filter(([, at]) => now - at < endpointExpiryMs)
    this.#removed.clear()
    return lately.map(([endpoint]) => endpoint)
  }

  /** Excludes endpoints whose loss an earlier leader has already recorded. */
  #isMissing({ id, notice, isSynced }: EndpointRecord): boolean {
    if (isSynced || notice.state !== NoticeState.SERVING) return false
    const { losses } = this.core
    return losses.has(id) ? losses.wasResponsive(id) : !losses.possible.hasEndpoint(id)
  }

  #recordPossibleLoss(now: number, tasks: readonly string[], jobs: readonly UnansweredJob[]): void {
    const { ids = [], isShared = false } = this.#missing ?? {}
    const { term } = this.core
    if (term === undefined || tasks.length + jobs.length === 0) return
    if (this.#missing !== undefined && ids.length === 0) return
    const fields = { term, endpoints: [...ids], shared: isShared }
    this.core.log('tasks of an earlier leader may have run at endpoints that are missing', {
      ...fields,
      tasks: tasks.length,
      jobs: jobs.length,
    })
    this.core.counters.tasks_doubted += tasks.length
    const more = { tasks: [...tasks], jobs: [...jobs] }
    this.crashes.recordPossibleLoss(now, create(PossibleLossSchema, { ...fields, ...more }))
  }
}

/** Names of the tasks of a job that are neither known to run nor done. */
function unlistedTasks({ tasks }: Job): string[] {
  const unlisted = tasks.filter(({ run, state }) => {
    return run === undefined && state !== TaskState.Done
  })
  return unlisted.map(({ name }) => name)
}
