import { hash64, groupBy } from '@cherryhitch/model'
import type { TaskReport } from '@cherryhitch/protocol'
import { Reason } from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import type { Job, TaskRecord } from '../jobs/Job'
import { JobPhase, TaskPhase } from '../jobs/Job'
import type { JobEnding } from '../jobs/JobEnding'
import type { JobProblem } from '../jobs/jobAnswers'
import { problem } from '../jobs/jobAnswers'
import { TimerKind } from '../timers/CoordinatorTimer'
import type { TaskPlacer } from './TaskPlacer'

const HASH_DIGITS = 8
const HASH_RANGE = 0x1_0000_0000

/** Reasons that may not apply at another owner. */
const retryableReasons: ReadonlySet<Reason> = new Set([
  Reason.ENDPOINT_REFUSED,
  Reason.ENDPOINT_LOST,
  Reason.NO_ENDPOINT,
  Reason.QUEUE_FULL,
  Reason.DRAINING,
  Reason.OWNER_LOST,
])

/** Reasons after which another owner is expected to offer the same endpoints soon. */
const movedEndpointReasons: ReadonlySet<Reason> = new Set([
  Reason.DRAINING,
  Reason.NO_ENDPOINT,
  Reason.OWNER_LOST,
])

/** Half of the time between two heartbeats of an instance. */
const OWNER_RECHECK_MS = 100

const noOtherOwner = problem(
  Reason.NO_ENDPOINT,
  'No other owner of the service takes a task that did not run.',
)

/** Retries tasks that are known not to have run, within the retry budget. @internal */
export class RetryScheduler {
  constructor(
    private readonly context: CoordinatorContext,
    private readonly placer: TaskPlacer,
    private readonly ending: JobEnding,
  ) {}

  /**
   * Schedules a retry of tasks of one job that were reported as not run, or fails the job.
   *
   * Tasks with the same attempt number get the same delay, so that they are sent in one message.
   */
  retryOrFail(now: number, job: Job, tasks: readonly TaskRecord[], why: JobProblem): void {
    if (isDecidedAtDeadline(job, why)) return
    if (!retryableReasons.has(why.reason)) {
      this.ending.fail(now, job, why)
      return
    }
    const newOwnerWaitMs = movedEndpointReasons.has(why.reason)
      ? this.context.timing.newOwnerWaitMs
      : 0
    const byDelay = new Map<number, TaskRecord[]>()
    for (const task of tasks) {
      const delayMs = this.takeRetryDelayMs(now, job, task)
      if (delayMs === undefined) {
        this.ending.fail(now, job, budgetExhausted(why))
        return
      }
      if (now + delayMs >= job.deadlineAt) {
        this.ending.fail(now, job, why)
        return
      }
      const existing = byDelay.get(delayMs)
      if (existing === undefined) byDelay.set(delayMs, [task])
      else existing.push(task)
    }
    for (const [delayMs, group] of byDelay) {
      const indexes = group.map((task) => task.index)
      const at = now + delayMs
      if (delayMs > 0) this.schedule(at, job, indexes, at + newOwnerWaitMs)
      else this.placeAgain(now, job, indexes, now + newOwnerWaitMs)
    }
  }

  /** Places tasks after their retry delay; with no owner, checks again until `giveUpAt`. */
  placeAgain(now: number, job: Job, indexes: readonly number[], giveUpAt: number): void {
    if (job.phase !== JobPhase.Running) return
    const waiting = indexes.flatMap((index) => job.tasks[index] ?? []).filter(isWaiting)
    const groups = groupBy(waiting, (task) => task.refusedBy.join(' '))
    for (const group of groups.values()) {
      const routes = this.placer.route(now, job, group)
      if (routes !== undefined) {
        this.context.counters.tasksPlacedAgain += group.length
        this.placer.send(now, job, routes)
      } else if (now + OWNER_RECHECK_MS < Math.min(giveUpAt, job.deadlineAt)) {
        const indexesLeft = group.map((task) => task.index)
        this.schedule(now + OWNER_RECHECK_MS, job, indexesLeft, giveUpAt)
      } else {
        this.ending.fail(now, job, noOtherOwner)
        return
      }
    }
  }

  private takeRetryDelayMs(now: number, job: Job, task: TaskRecord): number | undefined {
    const retried = task.attempt - 1
    return this.context.policies.retryBudget.takeRetry(
      now,
      retried,
      hashToUnitInterval(`${job.id}/${task.attempt}`),
    )
  }

  private schedule(at: number, job: Job, indexes: readonly number[], giveUpAt: number): void {
    const item = { kind: TimerKind.Retry, sequence: job.sequence, indexes, giveUpAt } as const
    this.context.timers.schedule(at, item)
  }
}

/** Converts an owner's report to a job problem. @internal */
export function reportedProblem(report: TaskReport): JobProblem {
  return problem(report.reason, report.detail, report.retryAfterMs)
}

/**
 * Returns whether the job's outcome should be left open until its deadline. Owners drop tasks at a
 * deadline slightly before the job's, and all of them report at about the same time. The job
 * therefore ends with the last report or at its own deadline, and can still be answered as not run
 * if none of its tasks ran.
 */
function isDecidedAtDeadline(job: Job, why: JobProblem): boolean {
  return why.reason === Reason.DEADLINE_PASSED && job.inFlight > 0 && job.tasksEnded === 0
}

function isWaiting(task: TaskRecord): boolean {
  return task.phase === TaskPhase.Waiting
}

function budgetExhausted(why: JobProblem): JobProblem {
  const detail = `The retry budget is used up after: ${why.detail}`
  return problem(Reason.RETRY_BUDGET, detail, why.retryAfterMs)
}

/** Maps a seed to a number from 0 to 1, as state machines must not use random numbers. */
function hashToUnitInterval(seed: string): number {
  return parseInt(hash64(seed).slice(0, HASH_DIGITS), 16) / HASH_RANGE
}
