import { create } from '@bufbuild/protobuf'
import { PossibleLossSchema } from '@cherryhitch/protocol'
import type { PossibleLoss } from '@cherryhitch/protocol'
import type { LossUnderTask } from '@cherryhitch/policy'
import { jobIdOf } from '../jobs/jobIdOf'

interface Possible {
  readonly term: number
  readonly endpoints: Set<string>
  readonly tasks: Set<string>
  /** How often each ended without an answer. */
  readonly jobs: Map<string, number>
  isShared: boolean
  readonly lostAt: number
}

const UNKNOWN_LOSS: LossUnderTask = { isCrash: false, isShared: false, isPossible: true }

/**
 * What may have run at endpoints that were gone when a new leader asked them, by its term: a task was
 * lost at one of them at most.
 *
 * @internal
 */
export class PossibleLosses {
  readonly #byTerm = new Map<number, Possible>()
  #changes = 0

  constructor(private readonly keepMs: number) {}

  get open(): IterableIterator<Readonly<Possible>> {
    return this.#byTerm.values()
  }

  /** How often something new was taken in. */
  get changes(): number {
    return this.#changes
  }

  /** Whether tasks may have been lost before a term. */
  has(term: number): boolean {
    return this.#byTerm.has(term)
  }

  /** Whether it is known of an endpoint that it was gone. */
  hasEndpoint(endpoint: string): boolean {
    for (const { endpoints } of this.#byTerm.values()) if (endpoints.has(endpoint)) return true
    return false
  }

  /**
   * Takes in what is known here or at another instance. One without endpoints is of a leader that has not
   * asked all of them yet.
   *
   * @returns the jobs that it speaks for or against; none when it is nothing new
   */
  take(now: number, told: PossibleLoss): ReadonlySet<string> {
    this.#forget(now)
    this.#changes++
    const known = this.#byTerm.get(told.term)
    if (told.cleared) {
      this.#byTerm.delete(told.term)
      return known === undefined ? new Set() : jobsOf(known)
    }
    const loss = known ?? this.#begin(now, told)
    addAll(loss.endpoints, told.endpoints)
    loss.isShared = told.shared
    const tasks = addAll(loss.tasks, told.tasks)
    const news = told.jobs.filter(({ jobId, times }) => times > (loss.jobs.get(jobId) ?? 0))
    for (const { jobId, times } of news) loss.jobs.set(jobId, times)
    return new Set([...tasks.map(jobIdOf), ...news.map(({ jobId }) => jobId)])
  }

  /**
   * What may have been lost under a task: once before each of the terms, and as often as its job ended
   * without an answer, in case that some of these terms are not known here.
   */
  under(task: string): LossUnderTask[] {
    const losses: LossUnderTask[] = []
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

  /** All that is known, for another instance. */
  all(now: number): PossibleLoss[] {
    return [...this.#byTerm.values()].map((loss) => toMessage(now, loss))
  }

  #begin(now: number, { term, lostMsAgo }: PossibleLoss): Possible {
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

  #forget(now: number): void {
    for (const { term, lostAt } of this.#byTerm.values()) {
      if (now - lostAt >= this.keepMs) this.#byTerm.delete(term)
    }
  }
}

/** @returns those that were not in the set */
function addAll(set: Set<string>, names: readonly string[]): string[] {
  const added = names.filter((name) => !set.has(name))
  for (const name of added) set.add(name)
  return added
}

function jobsOf({ tasks, jobs }: Possible): Set<string> {
  return new Set([...[...tasks].map(jobIdOf), ...jobs.keys()])
}

function toMessage(now: number, loss: Possible): PossibleLoss {
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
