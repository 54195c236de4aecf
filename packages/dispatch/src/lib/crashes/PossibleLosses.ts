import { create } from '@bufbuild/protobuf'
import { PossibleLossSchema } from '@cherryhitch/protocol'
import type { PossibleLoss } from '@cherryhitch/protocol'
import type { EndpointLoss } from '@cherryhitch/policy'
import { jobIdOf } from '../jobs/jobIdOf'

/** The possible losses that a leader found when its term began. */
interface TermLosses {
  readonly term: number
  readonly endpoints: Set<string>
  readonly tasks: Set<string>
  /** Number of times that each job ended without an answer, by job id. */
  readonly jobs: Map<string, number>
  isShared: boolean
  readonly lostAt: number
}

const UNKNOWN_LOSS: EndpointLoss = { isCrash: false, isShared: false, isPossible: true }

/**
 * Keeps what may have run at endpoints that were missing when a new leader polled them, by its
 * term. A task can have been lost at only one of them, so it counts once in each term.
 *
 * @internal
 */
export class PossibleLosses {
  readonly #byTerm = new Map<number, TermLosses>()
  #changes = 0

  constructor(private readonly retentionMs: number) {}

  get entries(): IterableIterator<Readonly<TermLosses>> {
    return this.#byTerm.values()
  }

  /** Number of updates that were applied. */
  get changes(): number {
    return this.#changes
  }

  /** Whether tasks may have been lost before a term. */
  has(term: number): boolean {
    return this.#byTerm.has(term)
  }

  /** Whether an endpoint is known to have been missing. */
  hasEndpoint(endpoint: string): boolean {
    for (const { endpoints } of this.#byTerm.values()) if (endpoints.has(endpoint)) return true
    return false
  }

  /**
   * Applies an update from this or another instance. An update without endpoints is from a leader
   * that has not polled all of them yet.
   *
   * @returns the jobs that it affects; none if it contains nothing new
   */
  apply(now: number, update: PossibleLoss): ReadonlySet<string> {
    this.#expire(now)
    this.#changes++
    const known = this.#byTerm.get(update.term)
    if (update.cleared) {
      this.#byTerm.delete(update.term)
      return known === undefined ? new Set() : jobsOf(known)
    }
    const loss = known ?? this.#add(now, update)
    addAll(loss.endpoints, update.endpoints)
    loss.isShared = update.shared
    const tasks = addAll(loss.tasks, update.tasks)
    const raised = update.jobs.filter(({ jobId, times }) => times > (loss.jobs.get(jobId) ?? 0))
    for (const { jobId, times } of raised) loss.jobs.set(jobId, times)
    return new Set([...tasks.map(jobIdOf), ...raised.map(({ jobId }) => jobId)])
  }

  /**
   * Returns the possible losses for a task: one for each term that lists it, and at least as many
   * as the times its job ended without an answer, since some of those terms may not be known here.
   */
  forTask(task: string): EndpointLoss[] {
    const losses: EndpointLoss[] = []
    if (this.#byTerm.size === 0) return losses
    const job = jobIdOf(task)
    let mostTimes = 0
    for (const { tasks, jobs, isShared } of this.#byTerm.values()) {
      const times = jobs.get(job) ?? 0
      if (times === 0 && !tasks.has(task)) continue
      mostTimes = Math.max(mostTimes, times)
      losses.push({ isCrash: false, isShared, isPossible: true })
    }
    while (losses.length < mostTimes) losses.push(UNKNOWN_LOSS)
    return losses
  }

  /** Everything known, to be sent to another instance. */
  all(now: number): PossibleLoss[] {
    return [...this.#byTerm.values()].map((loss) => toMessage(now, loss))
  }

  #add(now: number, { term, lostMsAgo }: PossibleLoss): TermLosses {
    const loss = {
      term,
      endpoints: new Set<string>(),
      tasks: new Set<string>(),
      jobs: new Map<string, number>(),
      isShared: false,
      lostAt: now - lostMsAgo,
    }
    this.#byTerm.set(term, loss)
    return loss
  }

  #expire(now: number): void {
    for (const { term, lostAt } of this.#byTerm.values()) {
      if (now - lostAt >= this.retentionMs) this.#byTerm.delete(term)
    }
  }
}

/** Adds names to a set; returns those that were not in it. */
function addAll(set: Set<string>, names: readonly string[]): string[] {
  const added = names.filter((name) => !set.has(name))
  for (const name of added) set.add(name)
  return added
}

function jobsOf({ tasks, jobs }: TermLosses): Set<string> {
  return new Set([...[...tasks].map(jobIdOf), ...jobs.keys()])
}

function toMessage(now: number, loss: TermLosses): PossibleLoss {
  const { term, endpoints, tasks, jobs, isShared: shared, lostAt } = loss
  return create(PossibleLossSchema, {
    term,
    endpoints: [...endpoints],
    tasks: [...tasks],
    jobs: [...jobs].map(([jobId, times]) => ({ jobId, times })),
    shared,
    lostMsAgo: Math.max(0, now - lostAt),
  })
}
