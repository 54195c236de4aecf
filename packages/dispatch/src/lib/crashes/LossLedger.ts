import type { CrashBlame, LossUnderTask } from '@cherryhitch/policy'
import { TaskStanding } from '@cherryhitch/policy'
import { LostEndpointSchema } from '@cherryhitch/protocol'
import type { EndpointGroup, LostEndpoint } from '@cherryhitch/protocol'
import { create } from '@bufbuild/protobuf'
import { isShared } from './groupsOf'
import type { LossNews } from './LossNews'
import { PossibleLosses } from './PossibleLosses'

/** Losses remembered at most. */
const MAX_LOSSES = 1_000

interface Loss {
  readonly endpoint: string
  readonly tasks: readonly string[]
  /** Those of them that may not have begun. */
  readonly unconfirmed: readonly string[]
  readonly groups: readonly EndpointGroup[]
  readonly lostAt: number
  /** Term of the leader that told what ran there. */
  readonly term: number
  isCrash: boolean
}

/** What is known of endpoints that were lost, and of the tasks that ran there. @internal */
export class LossLedger {
  readonly #losses = new Map<string, Loss>()
  readonly #byTask = new Map<string, Loss[]>()
  #changes = 0
  /** Losses of which it is not known what ran there. */
  readonly possible: PossibleLosses

  constructor(
    private readonly blame: CrashBlame,
    private readonly keepMs: number,
  ) {
    this.possible = new PossibleLosses(keepMs)
  }

  /** Losses of which it is not known yet whether they were crashes. */
  get open(): readonly Readonly<Loss>[] {
    return [...this.#losses.values()].filter(({ isCrash }) => !isCrash)
  }

  /** How often something new was taken in. */
  get changes(): number {
    return this.#changes + this.possible.changes
  }

  /** Whether the loss of an endpoint is known. */
  has(endpoint: string): boolean {
    return this.#losses.has(endpoint)
  }

  /** Whether an endpoint was sound when it was told what ran there, as far as is known. */
  wasSound(endpoint: string): boolean {
    return this.#losses.get(endpoint)?.groups.length === 0
  }

  /** Tasks that ran at a lost endpoint. */
  tasksOf(endpoint: string): readonly string[] {
    return this.#losses.get(endpoint)?.tasks ?? []
  }

  /** Takes in what is known of a loss, here or at another instance; false when it is nothing new. */
  take(now: number, told: LostEndpoint): boolean {
    this.#forget(now)
    const isNew = this.#takeIn(now, told)
    if (isNew) this.#changes++
    return isNew
  }

  #takeIn(now: number, told: LostEndpoint): boolean {
    if (told.cleared) return this.#remove(told.endpoint)
    const known = this.#losses.get(told.endpoint)
    if (known !== undefined) {
      if (known.isCrash) return false
      if (told.tasks.length > 0 && told.term < known.term) return false
      if (isFuller(told, known)) return this.#replace(now, known, told)
      if (!told.crashed) return false
      known.isCrash = true
      return true
    }
    const { endpoint, tasks, unconfirmed, groups, crashed: isCrash, lostMsAgo, term } = told
    const ran = { endpoint, tasks, unconfirmed, groups }
    const loss = { ...ran, isCrash, term, lostAt: now - lostMsAgo }
    this.#losses.set(endpoint, loss)
    for (const task of tasks) this.#lossesOf(task).push(loss)
    return true
  }

  /** What the losses under a task say of it. */
  standing(task: string): TaskStanding {
    const known = this.#byTask.get(task) ?? []
    const possible = this.possible.under(task)
    if (known.length + possible.length === 0) return TaskStanding.Clear
    const seen = known.map(({ isCrash, groups, unconfirmed }): LossUnderTask => {
      return { isCrash, isShared: isShared(groups), isPossible: unconfirmed.includes(task) }
    })
    return this.blame.standing([...seen, ...possible])
  }

  /** Endpoints that were lost under a task. */
  endpointsOf(task: string): readonly string[] {
    return (this.#byTask.get(task) ?? []).map(({ endpoint }) => endpoint)
  }

  /** All that is known, for another instance. */
  all(now: number): LossNews {
    const lost = [...this.#losses.values()].map((loss) => toMessage(now, loss))
    return { lost, possible: this.possible.all(now) }
  }

  /** What is known of one loss, for other instances. */
  tell(now: number, endpoint: string): LostEndpoint {
    const loss = this.#losses.get(endpoint)
    if (loss !== undefined) return toMessage(now, loss)
    return create(LostEndpointSchema, { endpoint, cleared: true })
  }

  /**
   * The endpoint went on after it was first told of: what it got since was lost with it. A later leader has
   * read its lists again, and knows what of the earlier ones' had ended.
   */
  #replace(now: number, known: Loss, told: LostEndpoint): boolean {
    this.#remove(known.endpoint)
    const isTold = (task: string): boolean => told.term > known.term || told.tasks.includes(task)
    const tasks = known.tasks.filter((task) => !isTold(task))
    const unconfirmed = known.unconfirmed.filter((task) => !isTold(task))
    return this.#takeIn(now, {
      ...told,
      tasks: [...tasks, ...told.tasks],
      unconfirmed: [...unconfirmed, ...told.unconfirmed],
    })
  }

  #lossesOf(task: string): Loss[] {
    const known = this.#byTask.get(task)
    if (known !== undefined) return known
    const losses: Loss[] = []
    this.#byTask.set(task, losses)
    return losses
  }

  #forget(now: number): void {
    for (const { endpoint, lostAt } of this.#losses.values()) {
      if (now - lostAt < this.keepMs && this.#losses.size < MAX_LOSSES) return
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

/** Whether a loss is told of with more than is known of it. */
function isFuller(told: LostEndpoint, known: Loss): boolean {
  if (told.term > known.term && told.tasks.length < known.tasks.length) return true
  if (told.tasks.some((task) => !known.tasks.includes(task))) return true
  return known.groups.length === 0 && told.groups.length > 0
}

function toMessage(now: number, { isCrash: crashed, lostAt, ...loss }: Loss): LostEndpoint {
  const { endpoint, tasks, unconfirmed, groups, term } = loss
  const lostMsAgo = Math.max(0, now - lostAt)
  const ran = { endpoint, tasks: [...tasks], unconfirmed: [...unconfirmed], groups: [...groups] }
  return create(LostEndpointSchema, { ...ran, term, crashed, lostMsAgo })
}
