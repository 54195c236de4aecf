import { hash32 } from '@cherryhitch/model'
import type { OpenJobs, ReadOpenJobs } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import type { Job } from '../jobs/Job'
import { jobIdOf } from '../jobs/jobIdOf'
import type { Run } from '../runs/Run'
import { areAllRunsKnown } from '../scheduling/areAllRunsKnown'
import { decodeHashes, encodeHashes } from './hashBytes'
import { JobOrigin } from './JobOrigin'

/** Jobs that leaders may be running. */
interface JobList {
  /** Each such job that a leader accepted before this local time is listed. */
  readonly completeUntil: number
  /** Largest number of leaders that may have started one of the jobs. */
  readonly attempts: number
  /** Hashes of their ids. */
  readonly jobs: ReadonlySet<number>
}

/**
 * What a leader has: its jobs, and the runs of earlier leaders whose jobs it doesn't know.
 *
 * @internal
 */
export interface LeaderJobs {
  readonly jobs: Iterable<Pick<Job, 'idHash' | 'earlierAttempts'>>
  readonly foreignRuns: Iterable<Pick<Run, 'name'>>
}

const EMPTY_LIST: JobList = { completeUntil: -Infinity, attempts: 0, jobs: new Set() }

/**
 * Longest time between the end of an entry and the arrival of its last jobs at the leader, in
 * milliseconds. It allows for one TCP retransmission.
 */
const MAX_SUBMIT_DELAY_MS = 200

/**
 * Tells whether an earlier leader may be running a job that a caller submits to this one.
 *
 * An entry names the leaders to which it has sent a job itself. A caller whose entry was lost submits
 * its job again through another entry, for which the job is new. So each instance that may lead keeps
 * reading the list of open jobs from the leader. A job that isn't listed and that runs was accepted
 * after the list was made, and its caller waits for `resubmitDelayMs` before submitting it again. So an
 * unlisted job that arrives earlier is new.
 *
 * @internal
 */
export class EarlierJobs {
  #list = EMPTY_LIST

  constructor(private readonly core: DispatchCore) {}

  /** Number of leaders that may have started a job of earlier leaders. */
  get attempts(): number {
    return Math.max(1, this.#list.attempts)
  }

  /**
   * The origin of a job that this leader doesn't know.
   *
   * @param arrivedAt - when it arrived at its entry, or later
   */
  originOf(now: number, jobId: string, arrivedAt: number): JobOrigin {
    // Entries send a zone dispatcher no job that they have sent to a leader.
    if (this.core.zone !== undefined || areAllRunsKnown(now, this.core)) return JobOrigin.New
    const { jobs, completeUntil } = this.#list
    if (jobs.has(hash32(jobId))) return JobOrigin.Earlier
    const { resubmitDelayMs } = this.core.timing
    const resubmittedFrom = completeUntil - MAX_SUBMIT_DELAY_MS + resubmitDelayMs
    return arrivedAt < resubmittedFrom ? JobOrigin.New : JobOrigin.Unknown
  }

  /** Answers another instance which jobs this leader or its predecessors may be running. */
  report(now: number, { askedAt, fromBoot }: ReadOpenJobs, leaderJobs: LeaderJobs): OpenJobs {
    const { completeUntil, attempts, jobs } = this.#listOf(now, leaderJobs)
    const isComplete = completeUntil > -Infinity
    return {
      $typeName: 'cherryhitch.v1.OpenJobs',
      askedAt,
      fromBoot,
      ...(isComplete && { completeMsAgo: now - completeUntil }),
      attempts,
      jobs: encodeHashes(jobs),
    }
  }

  /**
   * A leader answered a request of this process. The list is at least as new as the request, however
   * long the answer took.
   */
  onReport({ askedAt, completeMsAgo = Infinity, attempts, jobs }: OpenJobs): void {
    const completeUntil = askedAt - Math.max(0, completeMsAgo)
    this.#learn({ completeUntil, attempts, jobs: decodeHashes(jobs) })
  }

  /** This leader steps down; it may lead again while its runs go on. */
  onStepDown(now: number, leaderJobs: LeaderJobs): void {
    this.#learn(this.#listOf(now, leaderJobs))
  }

  /** What the log says of the list at the beginning of a term. */
  summary(now: number): Readonly<Record<string, number | undefined>> {
    const { completeUntil, jobs } = this.#list
    const isComplete = completeUntil > -Infinity
    return {
      listedJobs: jobs.size,
      listCompleteMsAgo: isComplete ? Math.round(now - completeUntil) : undefined,
    }
  }

  #learn(list: JobList): void {
    if (list.completeUntil >= this.#list.completeUntil) this.#list = list
  }

  #listOf(now: number, { jobs, foreignRuns }: LeaderJobs): JobList {
    const knowsAll = areAllRunsKnown(now, this.core)
    const earlier = knowsAll ? EMPTY_LIST : this.#list
    const listed = new Set(earlier.jobs)
    let { attempts } = earlier
    for (const { idHash, earlierAttempts } of jobs) {
      listed.add(idHash)
      attempts = Math.max(attempts, earlierAttempts)
    }
    for (const { name } of foreignRuns) listed.add(hash32(jobIdOf(name)))
    // Another leader may have been elected since a majority last confirmed this one.
    const completeUntil = Math.min(this.core.confirmedAt, knowsAll ? now : earlier.completeUntil)
    return { completeUntil, attempts: attempts + 1, jobs: listed }
  }
}
