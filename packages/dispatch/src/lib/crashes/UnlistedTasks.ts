import { create } from '@bufbuild/protobuf'
import { NoticeState, PossibleLossSchema, UnansweredJobSchema } from '@cherryhitch/protocol'
import type { UnansweredJob } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { TaskState } from '../jobs/Job'
import type { Job } from '../jobs/Job'
import { isSettled } from '../scheduling/isSettled'
import type { CrashWatch } from './CrashWatch'
import { groupsAmong, isShared } from './groupsOf'

/** Endpoints that an earlier leader may have used, and that tell this one nothing. */
interface GoneEndpoints {
  readonly ids: readonly string[]
  readonly isShared: boolean
}

/**
 * Finds out which tasks of earlier leaders may have been lost without anybody's knowing: those that
 * were open and that no endpoint lists, while endpoints are gone. Each of them may be the cause of such
 * a loss, and so runs apart from others when it starts again.
 *
 * It answers leaders that end without a word just after a task has taken its endpoint down. It costs
 * nothing while a leader lasts, since it takes the absence of a run for the evidence of a start.
 *
 * @internal
 */
export class UnlistedTasks {
  /** Undefined until all endpoints have told what runs there, or were found to be gone. */
  #gone: GoneEndpoints | undefined
  /** Jobs of earlier leaders that became known before that; some may have ended since. */
  readonly #earlier = new Map<string, UnansweredJob>()
  /** Endpoints that were forgotten before that, since another life had followed them, and when. */
  readonly #forgotten = new Map<EndpointRecord, number>()

  constructor(
    private readonly core: DispatchCore,
    private readonly crashes: CrashWatch,
  ) {}

  /** Whether it is known which endpoints are gone: tasks of earlier leaders may start again after that. */
  get isDone(): boolean {
    return this.#gone !== undefined
  }

  /** Another leader begins. */
  clear(): void {
    this.#gone = undefined
    this.#earlier.clear()
  }

  /** An endpoint goes from the directory. */
  onForgotten(now: number, endpoint: EndpointRecord): void {
    if (this.#gone === undefined && endpoint.isReplaced) this.#forgotten.set(endpoint, now)
  }

  /** Looks for gone endpoints as soon as all have had the time to answer, once in a term. */
  look(now: number, jobs: Iterable<Job>): void {
    if (this.#gone !== undefined || !this.#haveAllBeenAsked(now)) return
    this.#gone = this.#findGone(now)
    if (this.#gone.ids.length === 0) {
      this.crashes.clearPossible(now, this.core.term ?? 0)
      return
    }
    const open = [...jobs].filter(({ isResumed }) => isResumed)
    for (const { id } of open) this.#earlier.delete(id)
    this.#note(now, open.flatMap(unlistedTasks), [...this.#earlier.values()])
    this.#earlier.clear()
  }

  /** A job has come that was not known here. */
  onJob(now: number, job: Job): void {
    if (this.#gone !== undefined) {
      if (job.isResumed) this.#note(now, unlistedTasks(job), [])
      return
    }
    const { id: jobId, isResumed } = job
    const earlier = this.#earlier.get(jobId)
    if (isResumed) {
      const times = (earlier?.times ?? 0) + 1
      this.#earlier.set(jobId, create(UnansweredJobSchema, { jobId, times }))
    } else if (earlier !== undefined) {
      // Its caller has sent it again: it starts before it is known which endpoints are gone.
      this.#note(now, [], [earlier])
    }
  }

  /** An entry had these jobs with an earlier leader, and gave them up: their callers may send them again. */
  onUnanswered(now: number, jobs: readonly UnansweredJob[]): void {
    if (this.#gone !== undefined) this.#note(now, [], jobs)
    else for (const job of jobs) this.#earlier.set(job.jobId, job)
  }

  #haveAllBeenAsked(now: number): boolean {
    if (!isSettled(now, this.core)) return false
    for (const { isAdopted, isReplaced, unanswered } of this.core.endpoints.all()) {
      if (!isAdopted && !isReplaced && unanswered === 0) return false
    }
    return true
  }

  #findGone(now: number): GoneEndpoints {
    const { losses } = this.core
    const all = [...this.core.endpoints.all(), ...this.#takeForgotten(now)]
    const gone = all.filter((endpoint) => this.#isGone(endpoint))
    const toldOf = [...groupsAmong(gone, all)].filter(([{ id }]) => losses.wasSound(id))
    this.crashes.addGroups(now, new Map(toldOf.map(([{ id }, groups]) => [id, groups])))
    const unknown = gone.filter(({ id }) => !losses.has(id))
    const groups = [...groupsAmong(unknown, all).values()]
    return { ids: unknown.map(({ id }) => id), isShared: groups.every(isShared) }
  }

  /** Those of a term that ended before the look count as well. */
  #takeForgotten(now: number): EndpointRecord[] {
    const { forgetEndpointMs } = this.core.timing
    const lately = [...this.#forgotten].filter(([, at]) => now - at < forgetEndpointMs)
    this.#forgotten.clear()
    return lately.map(([endpoint]) => endpoint)
  }

  /** Not those whose loss an earlier leader has noticed. */
  #isGone({ id, notice, isAdopted }: EndpointRecord): boolean {
    if (isAdopted || notice.state !== NoticeState.SERVING) return false
    const { losses } = this.core
    return losses.has(id) ? losses.wasSound(id) : !losses.possible.hasEndpoint(id)
  }

  #note(now: number, tasks: readonly string[], jobs: readonly UnansweredJob[]): void {
    const { ids = [], isShared = false } = this.#gone ?? {}
    const { term } = this.core
    if (term === undefined || tasks.length + jobs.length === 0) return
    if (this.#gone !== undefined && ids.length === 0) return
    const fields = { term, endpoints: [...ids], shared: isShared }
    this.core.log('tasks of an earlier leader may have run at endpoints that are gone', {
      ...fields,
      tasks: tasks.length,
      jobs: jobs.length,
    })
    this.core.counters.tasks_doubted += tasks.length
    const more = { tasks: [...tasks], jobs: [...jobs] }
    this.crashes.notePossible(now, create(PossibleLossSchema, { ...fields, ...more }))
  }
}

/** Tasks of a job that are not known to run, or to be done. */
function unlistedTasks({ tasks }: Job): string[] {
  const unlisted = tasks.filter(({ run, state }) => {
    return run === undefined && state !== TaskState.Done
  })
  return unlisted.map(({ name }) => name)
}
