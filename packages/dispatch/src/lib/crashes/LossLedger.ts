import type { CrashAttribution, EndpointLoss } from '@cherryhitch/policy'
import { CrashSuspicion } from '@cherryhitch/policy'
import { LostEndpointSchema } from '@cherryhitch/protocol'
import type { EndpointGroup, LostEndpoint } from '@cherryhitch/protocol'
import { create } from '@bufbuild/protobuf'
import { isShared } from './groupsOf'
import type { LossUpdate } from './LossUpdate'
import { PossibleLosses } from './PossibleLosses'

/** Maximum number of losses kept. */
const MAX_LOSSES = 1_000

interface Loss {
  readonly endpoint: string
  readonly tasks: readonly string[]
  /** Those of `tasks` that may not have started. */
  readonly unconfirmed: readonly string[]
  readonly groups: readonly EndpointGroup[]
  readonly lostAt: number
  /** Term of the leader that reported which tasks ran there. */
  readonly term: number
  isCrash: boolean
}

/** Keeps what is known of lost endpoints and of the tasks that ran there. @internal */
export class LossLedger {
  readonly #losses = new Map<string, Loss>()
  readonly #byTask = new Map<string, Loss[]>()
  #changes = 0
  /** Losses for which it is not known which tasks ran there. */
  readonly possible: PossibleLosses

  constructor(
    private readonly blame: CrashAttribution,
    private readonly retentionMs: number,
  ) {
    this.possible = new PossibleLosses(retentionMs)
  }

  /** Losses that are not yet known to be crashes. */
  get unresolved(): readonly Readonly<Loss>[] {
    return [...this.#losses.values()].filter(({ isCrash }) => !isCrash)
  }

  /** Number of updates that changed anything, plus all updates of possible losses. */
  get changes(): number {
    return this.#changes + this.possible.changes
  }

  /** Whether the loss of an endpoint is known. */
  has(endpoint: string): boolean {
    return this.#losses.has(endpoint)
  }

  /**
   * Whether an endpoint still answered when its tasks were reported, as far as is known: groups are
   * only recorded for endpoints that did not.
   */
  wasResponsive(endpoint: string): boolean {
    return this.#losses.get(endpoint)?.groups.length === 0
  }

  /** Tasks that ran at a lost endpoint. */
  tasksOf(endpoint: string): readonly string[] {
    return this.#losses.get(endpoint)?.tasks ?? []
  }

  /** Applies an update from this or another instance; returns whether it changed anything. */
  apply(now: number, update: LostEndpoint): boolean {
    this.#expire(now)
    const isNew = this.#merge(now, update)
    if (isNew) this.#changes++
    return isNew
  }

  #merge(now: number, update: LostEndpoint): boolean {
    if (update.cleared) return this.#remove(update.endpoint)
    const known = this.#losses.get(update.endpoint)
    if (known !== undefined) {
      if (known.isCrash) return false
      if (update.tasks.length > 0 && update.term < known.term) return false
      if (hasMoreDetail(update, known)) return this.#replace(now, known, update)
      if (!update.crashed) return false
      known.isCrash = true
      return true
    }
    const { endpoint, tasks, unconfirmed, groups, crashed: isCrash, lostMsAgo, term } = update
    const ran = { endpoint, tasks, unconfirmed, groups }
    const loss = { ...ran, isCrash, term, lostAt: now - lostMsAgo }
    this.#losses.set(endpoint, loss)
    for (const task of tasks) this.#lossesOf(task).push(loss)
    return true
  }

  /** Judges a task by the endpoints that were lost while it ran there. */
  standing(task: string): CrashSuspicion {
    const known = this.#byTask.get(task) ?? []
    const possible = this.possible.forTask(task)
    if (known.length + possible.length === 0) return CrashSuspicion.Clear
    const seen = known.map(({ isCrash, groups, unconfirmed }): EndpointLoss => {
      return { isCrash, isShared: isShared(groups), isPossible: unconfirmed.includes(task) }
    })
    return this.blame.suspicionOf([...seen, ...possible])
  }

  /** Endpoints that were lost while a task ran there. */
  endpointsOf(task: string): readonly string[] {
    return (this.#byTask.get(task) ?? []).map(({ endpoint }) => endpoint)
  }

  /** Everything known, to be sent to another instance. */
  all(now: number): LossUpdate {
    const lost = [...this.#losses.values()].map((loss) => toMessage(now, loss))
    return { lost, possible: this.possible.all(now) }
  }

  /** What is known of one loss, to be sent to other instances. */
  describe(now: number, endpoint: string): LostEndpoint {
    const loss = this.#losses.get(endpoint)
    if (loss !== undefined) return toMessage(now, loss)
    return create(LostEndpointSchema, { endpoint, cleared: true })
  }

  /**
   * Replaces a known loss by a more detailed one. The endpoint may have been given more tasks after
   * its first report; those were lost with it. A later leader has read its run lists again, and
   * knows which of the earlier tasks had ended.
   */
  #replace(now: number, known: Loss, update: LostEndpoint): boolean {
    this.#remove(known.endpoint)
    const isSuperseded = (task: string): boolean =>
      update.term > known.term || update.tasks.includes(task)
    const tasks = known.tasks.filter((task) => !isSuperseded(task))
    const unconfirmed = known.unconfirmed.filter((task) => !isSuperseded(task))
    return this.#merge(now, {
      ...update,
      tasks: [...tasks, ...update.tasks],
      unconfirmed: [...unconfirmed, ...update.unconfirmed],
    })
  }

  #lossesOf(task: string): Loss[] {
    const known = this.#byTask.get(task)
    if (known !== undefined) return known
    const losses: Loss[] = []
    this.#byTask.set(task, losses)
    return losses
  }

  #expire(now: number): void {
    for (const { endpoint, lostAt } of this.#losses.values()) {
      if (now - lostAt < this.retentionMs && this.#losses.size < MAX_LOSSES) return
      this.#remove(endpoint)
    }
  }

  #remove(endpoint: string): boolean {
    const loss = this.#losses.get(endpoint)
    if (loss === undefined) return false
    this.#losses.delete(endpoint)
    for (const task of loss.tasks) {
      const rest = this.#lossesOf(task).filter((other) => other !== loss)
      if (rest.length === 0) this.#byTask.delete(task)
      else this.#byTask.set(task, rest)
    }
    return true
  }
}

/** Whether an update has more detail than is known of a loss. */
function hasMoreDetail(update: LostEndpoint, known: Loss): boolean {
  if (update.term > known.term && update.tasks.length < known.tasks.length) return true
  if (update.tasks.some((task) => !known.tasks.includes(task))) return true
  return known.groups.length === 0 && update.groups.length > 0
}

function toMessage(now: number, { isCrash: crashed, lostAt, ...loss }: Loss): LostEndpoint {
  const { endpoint, tasks, unconfirmed, groups, term } = loss
  const lostMsAgo = Math.max(0, now - lostAt)
  const ran = { endpoint, tasks: [...tasks], unconfirmed: [...unconfirmed], groups: [...groups] }
  return create(LostEndpointSchema, { ...ran, term, crashed, lostMsAgo })
}
