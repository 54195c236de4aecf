import { TaskStanding } from '@cherryhitch/policy'
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
import type { LossNews } from './LossNews'

/** What to do about a job some of whose tasks may take endpoints down. @internal */
export interface JobJudgement {
  readonly standing: TaskStanding.Culprit | TaskStanding.Held
  readonly task: Task
}

/**
 * Finds out what became of endpoints that were lost while tasks ran there, and which of these tasks
 * may be the cause. What is known goes to all who may lead, so that it outlasts this leader.
 *
 * @internal
 */
export class CrashWatch {
  constructor(
    private readonly core: DispatchCore,
    /** Called for each job a task of which may have another standing. */
    private readonly onEvidence: (now: number, job: string) => void,
  ) {}

  /** Notes what ran at an endpoint that is given up since nothing is heard of it. */
  onEndpointLost(now: number, endpoint: EndpointRecord): void {
    // What leaves as it said ends its runs without any fault.
    if (endpoint.notice.state !== NoticeState.SERVING) return
    const { counters, endpoints } = this.core
    counters.endpoints_lost++
    this.#note(now, this.#lossOf(endpoint, groupsOf(endpoint, endpoints.all())))
  }

  /** Tells the next leaders of an endpoint that is gone while nothing runs there. */
  onIdleEndpointLost(now: number, endpoint: EndpointRecord): void {
    if (endpoint.notice.state !== NoticeState.SERVING || this.core.losses.has(endpoint.id)) return
    this.#note(now, this.#lossOf(endpoint, groupsOf(endpoint, this.core.endpoints.all())))
  }

  /**
   * Tells the next leader what runs anywhere: of an endpoint that is lost before it answers that one, it
   * could not learn it. Those that answer are cleared.
   */
  handOver(now: number): void {
    const all = [...this.core.endpoints.all()]
    const lost = all.flatMap((endpoint) => {
      const { notice, runs, unanswered, isAdopted, isReplaced } = endpoint
      const isSilent = unanswered > 0 || isReplaced
      const isWorthTelling = runs.size > 0 || (isSilent && isAdopted)
      if (!isWorthTelling || notice.state !== NoticeState.SERVING) return []
      const loss = this.#lossOf(endpoint, isSilent ? groupsOf(endpoint, all) : [])
      return this.core.losses.take(now, loss) ? this.core.losses.tell(now, endpoint.id) : []
    })
    if (lost.length > 0) this.#spread({ lost, possible: [] })
  }

  /** Another instance tells what it knows. */
  onTold(now: number, { lost, possible }: LossNews): void {
    for (const one of lost) this.#take(now, one, () => undefined)
    for (const one of possible) this.#takePossible(now, one)
  }

  /** Adds which endpoints were lost together with those that an earlier leader had told of as sound. */
  addGroups(now: number, groupsOfEach: ReadonlyMap<string, EndpointGroup[]>): void {
    const { losses } = this.core
    const lost = [...groupsOfEach].map(([endpoint, groups]) => {
      return { ...losses.tell(now, endpoint), groups }
    })
    if (lost.length === 0) return
    this.#spread({ lost, possible: [] })
    for (const one of lost) this.#take(now, one, () => undefined)
  }

  /** Notes what may have run at endpoints that are gone, and tells all who may lead. */
  notePossible(now: number, possible: PossibleLoss): void {
    this.#spread({ lost: [], possible: [possible] })
    this.#takePossible(now, possible)
  }

  /** Nothing was lost before a term, or only the way to endpoints. */
  clearPossible(now: number, term: number): void {
    if (!this.core.losses.possible.has(term)) return
    this.notePossible(now, create(PossibleLossSchema, { term, cleared: true }))
  }

  /** Looks at what was lost: another life shows a crash, an answer shows that there was none. */
  tick(now: number): void {
    this.#lookAtPossible(now)
    for (const { endpoint, tasks, lostAt } of this.core.losses.open) {
      const record = this.core.endpoints.get(endpoint)
      if (record === undefined) continue
      if (record.isReplaced) {
        if (tasks.length > 0) this.core.counters.endpoints_crashed++
        this.#note(now, create(LostEndpointSchema, { endpoint, crashed: true }))
      } else if (record.answeredAt > lostAt) {
        this.#note(now, create(LostEndpointSchema, { endpoint, cleared: true }))
      }
    }
  }

  /** The way to them was lost, and not the endpoints: nothing that may have run there is a suspect. */
  #lookAtPossible(now: number): void {
    const { endpoints, losses } = this.core
    for (const { term, endpoints: gone, lostAt } of losses.possible.open) {
      const haveAnswered = [...gone].every((id) => (endpoints.get(id)?.answeredAt ?? 0) > lostAt)
      if (haveAnswered && gone.size > 0) this.clearPossible(now, term)
    }
  }

  /** Marks the suspects among a job's tasks; gives the task for which the job has to end. */
  judge(job: Job): JobJudgement | undefined {
    let held: JobJudgement | undefined
    for (const task of job.tasks) {
      if (task.state === TaskState.Done) continue
      const standing = this.core.losses.standing(task.name)
      task.isSuspect = standing !== TaskStanding.Clear
      if (standing === TaskStanding.Culprit) return { standing, task }
      if (standing === TaskStanding.Held && task.run === undefined) held = { standing, task }
    }
    return held
  }

  /** Takes in what was found out here, and tells all who may lead. */
  #note(now: number, lost: LostEndpoint): void {
    this.#take(now, lost, () => {
      const known = this.core.losses.tell(now, lost.endpoint)
      this.#spread({ lost: [known], possible: [] })
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

  #spread(news: LossNews): void {
    this.core.emit({ kind: DispatchActionKind.SpreadLoss, news })
  }

  #takePossible(now: number, possible: PossibleLoss): void {
    for (const job of this.core.losses.possible.take(now, possible)) this.onEvidence(now, job)
  }

  /** @param onNews - called before tasks are judged by it */
  #take(now: number, lost: LostEndpoint, onNews: () => void): void {
    const { losses } = this.core
    const before = losses.tasksOf(lost.endpoint)
    if (!losses.take(now, lost)) return
    onNews()
    const tasks = [...before, ...losses.tasksOf(lost.endpoint)]
    for (const job of new Set(tasks.map(jobIdOf))) this.onEvidence(now, job)
  }
}
