import { CrashSuspicion } from '@cherryhitch/policy'
import { LostEndpointSchema, NoticeState, PossibleLossSchema } from '@cherryhitch/protocol'
import type { EndpointGroup, LostEndpoint, PossibleLoss } from '@cherryhitch/protocol'
import { create } from '@bufbuild/protobuf'
import { DispatchActionKind } from '../DispatchAction'
import type { DispatchCore } from '../DispatchCore'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { TaskState } from '../jobs/Job'
import type { Job, Task } from '../jobs/Job'
import { jobIdOf } from '../jobs/jobIdOf'
import { groupsOf } from './groupsOf'
import type { LossUpdate } from './LossUpdate'

/** Assessment of a job with a task that may crash endpoints. @internal */
export interface JobAssessment {
  readonly standing: CrashSuspicion.Culprit | CrashSuspicion.Held
  readonly task: Task
}

/**
 * Determines what happened to endpoints that were lost while tasks ran there, and which of these
 * tasks may be the cause. The findings are broadcast to all instances that may become leader, so
 * that they survive a change of leader.
 *
 * @internal
 */
export class CrashDetector {
  constructor(
    private readonly core: DispatchCore,
    /** Called for each job with a task whose standing may have changed. */
    private readonly onEvidence: (now: number, job: string) => void,
  ) {}

  /** Records the tasks that ran at an endpoint that counts as lost. */
  onEndpointLost(now: number, endpoint: EndpointRecord): void {
    // An endpoint that announced its departure ends its runs without a crash.
    if (endpoint.notice.state !== NoticeState.SERVING) return
    const { counters, endpoints } = this.core
    counters.endpoints_lost++
    this.#record(now, this.#lossOf(endpoint, groupsOf(endpoint, endpoints.all())))
  }

  /** Records the loss of an endpoint without runs, for later leaders. */
  onIdleEndpointLost(now: number, endpoint: EndpointRecord): void {
    if (endpoint.notice.state !== NoticeState.SERVING || this.core.losses.has(endpoint.id)) return
    this.#record(now, this.#lossOf(endpoint, groupsOf(endpoint, this.core.endpoints.all())))
  }

  /**
   * Broadcasts the runs of all endpoints for the next leader, which could not learn them from an
   * endpoint that is lost before it answers. Endpoints that do answer are cleared.
   */
  handOver(now: number): void {
    const all = [...this.core.endpoints.all()]
    const lost = all.flatMap((endpoint) => {
      const { notice, runs, unanswered, isSynced, isReplaced } = endpoint
      const isSilent = unanswered > 0 || isReplaced
      const isRelevant = runs.size > 0 || (isSilent && isSynced)
      if (!isRelevant || notice.state !== NoticeState.SERVING) return []
      const loss = this.#lossOf(endpoint, isSilent ? groupsOf(endpoint, all) : [])
      return this.core.losses.apply(now, loss) ? this.core.losses.describe(now, endpoint.id) : []
    })
    if (lost.length > 0) this.#broadcast({ lost, possible: [] })
  }

  /** Applies an update from another instance. */
  onUpdate(now: number, { lost, possible }: LossUpdate): void {
    for (const loss of lost) this.#apply(now, loss, () => undefined)
    for (const loss of possible) this.#applyPossible(now, loss)
  }

  /**
   * Adds the groups that were lost to endpoints that an earlier leader had reported while they
   * still answered.
   */
  addGroups(now: number, groupsOfEach: ReadonlyMap<string, EndpointGroup[]>): void {
    const { losses } = this.core
    const lost = [...groupsOfEach].map(([endpoint, groups]) => {
      return { ...losses.describe(now, endpoint), groups }
    })
    if (lost.length === 0) return
    this.#broadcast({ lost, possible: [] })
    for (const loss of lost) this.#apply(now, loss, () => undefined)
  }

  /** Records and broadcasts which tasks may have run at missing endpoints. */
  recordPossibleLoss(now: number, possible: PossibleLoss): void {
    this.#broadcast({ lost: [], possible: [possible] })
    this.#applyPossible(now, possible)
  }

  /** Clears the possible losses of a term: no endpoint was lost, or only the connection to some. */
  clearPossibleLoss(now: number, term: number): void {
    if (!this.core.losses.possible.has(term)) return
    this.recordPossibleLoss(now, create(PossibleLossSchema, { term, cleared: true }))
  }

  /**
   * Updates the unresolved losses: a new incarnation of an endpoint shows a crash, an answer shows
   * that there was none.
   */
  tick(now: number): void {
    this.#checkPossibleLosses(now)
    for (const { endpoint, tasks, lostAt } of this.core.losses.unresolved) {
      const record = this.core.endpoints.get(endpoint)
      if (record === undefined) continue
      if (record.isReplaced) {
        if (tasks.length > 0) this.core.counters.endpoints_crashed++
        this.#record(now, create(LostEndpointSchema, { endpoint, crashed: true }))
      } else if (record.answeredAt > lostAt) {
        this.#record(now, create(LostEndpointSchema, { endpoint, cleared: true }))
      }
    }
  }

  /**
   * Clears possible losses whose endpoints have all answered: only the connection to them was lost,
   * so no task that may have run there is suspect.
   */
  #checkPossibleLosses(now: number): void {
    const { endpoints, losses } = this.core
    for (const { term, endpoints: missing, lostAt } of losses.possible.entries) {
      const haveAnswered = [...missing].every((id) => (endpoints.get(id)?.answeredAt ?? 0) > lostAt)
      if (haveAnswered && missing.size > 0) this.clearPossibleLoss(now, term)
    }
  }

  /**
   * Marks the suspects among a job's tasks; returns the task that is a culprit, or one that has to
   * wait until more is known.
   */
  assess(job: Job): JobAssessment | undefined {
    let held: JobAssessment | undefined
    for (const task of job.tasks) {
      if (task.state === TaskState.Done) continue
      const standing = this.core.losses.standing(task.name)
      task.isSuspect = standing !== CrashSuspicion.Clear
      if (standing === CrashSuspicion.Culprit) return { standing, task }
      if (standing === CrashSuspicion.Held && task.run === undefined) held = { standing, task }
    }
    return held
  }

  /** Applies and broadcasts a finding of this instance. */
  #record(now: number, lost: LostEndpoint): void {
    this.#apply(now, lost, () => {
      const known = this.core.losses.describe(now, lost.endpoint)
      this.#broadcast({ lost: [known], possible: [] })
    })
  }

  #lossOf({ id: endpoint, runs }: EndpointRecord, groups: EndpointGroup[]): LostEndpoint {
    const term = this.core.term ?? 0
    const unanswered = [...runs.values()].filter(({ confirmedAt }) => confirmedAt === undefined)
    const unconfirmed = unanswered.map(({ name }) => name)
    return create(LostEndpointSchema, {
      endpoint,
      tasks: [...runs.keys()],
      unconfirmed,
      groups,
      term,
    })
  }

  #broadcast(losses: LossUpdate): void {
    this.core.emit({ kind: DispatchActionKind.BroadcastLosses, losses })
  }

  #applyPossible(now: number, possible: PossibleLoss): void {
    for (const job of this.core.losses.possible.apply(now, possible)) this.onEvidence(now, job)
  }

  /**
   * @param onChange - called if the update changed anything, before the affected jobs are assessed
   */
  #apply(now: number, lost: LostEndpoint, onChange: () => void): void {
    const { losses } = this.core
    const before = losses.tasksOf(lost.endpoint)
    if (!losses.apply(now, lost)) return
    onChange()
    const tasks = [...before, ...losses.tasksOf(lost.endpoint)]
    for (const job of new Set(tasks.map(jobIdOf))) this.onEvidence(now, job)
  }
}
