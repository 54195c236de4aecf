import { hash64, groupBy } from '@cherryhitch/model'
import type { TaskReport } from '@cherryhitch/protocol'
import { Reason } from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import type { Job, TaskRecord } from '../jobs/Job'
import { JobPhase, TaskPhase } from '../jobs/Job'
import type { JobEnding } from '../jobs/JobEnding'
import type { JobProblem } from '../jobs/jobAnswers'
import { problem } from '../jobs/jobAnswers'
import { DueKind } from '../timers/DueItem'
import type { TaskPlacement } from './TaskPlacement'

const DRAW_DIGITS = 8
const DRAW_RANGE = 0x1_0000_0000

/** Reasons that another owner may not have. */
const worthRetrying: ReadonlySet<Reason> = new Set([
  Reason.ENDPOINT_REFUSED,
  Reason.ENDPOINT_LOST,
  Reason.NO_ENDPOINT,
  Reason.QUEUE_FULL,
  Reason.DRAINING,
  Reason.OWNER_LOST,
])

/** Reasons of owners whose endpoints are about to be offered by another one. */
const movedAway: ReadonlySet<Reason> = new Set([
  Reason.DRAINING,
  Reason.NO_ENDPOINT,
  Reason.OWNER_LOST,
])

/** Half of the time between two heartbeats of an instance. */
const LOOK_AGAIN_MS = 100

const noOtherOwner = problem(
  Reason.NO_ENDPOINT,
  'No other owner of the service takes a task that did not run.',
)

/** Places tasks again that truly did not run, as far as the budget goes. @internal */
export class Retries {
  constructor(
    private readonly context: CoordinatorContext,
    private readonly placement: TaskPlacement,
    private readonly ending: JobEnding,
  ) {}

  /**
   * Decides about tasks of one job that were reported as not run.
   *
   * The delay is drawn once for tasks of equal attempts, so that they go out in one message.
   */
  consider(now: number, job: Job, tasks: readonly TaskRecord[], why: JobProblem): void {
    if (isDecidedAtDeadline(job, why)) return
    if (!worthRetrying.has(why.reason)) {
      this.ending.fail(now, job, why)
      return
    }
    const patienceMs = movedAway.has(why.reason) ? this.context.timing.ownerPatienceMs : 0
    const due = new Map<number, TaskRecord[]>()
    for (const task of tasks) {
      const delayMs = this.delayMs(now, job, task)
      if (delayMs === undefined) {
        this.ending.fail(now, job, outOfBudget(why))
        return
      }
      if (now + delayMs >= job.deadlineAt) {
        this.ending.fail(now, job, why)
        return
      }
      const present = due.get(delayMs)
      if (present === undefined) due.set(delayMs, [task])
      else present.push(task)
    }
    for (const [delayMs, group] of due) {
      const indexes = group.map((task) => task.index)
      const at = now + delayMs
      if (delayMs > 0) this.schedule(at, job, indexes, at + patienceMs)
      else this.placeAgain(now, job, indexes, now + patienceMs)
    }
  }

  /** The delay of some tasks is over. */
  placeAgain(now: number, job: Job, indexes: readonly number[], giveUpAt: number): void {
    if (job.phase !== JobPhase.Running) return
    const waiting = indexes.flatMap((index) => job.tasks[index] ?? []).filter(isWaiting)
    const groups = groupBy(waiting, (task) => task.refusedBy.join(' '))
    for (const group of groups.values()) {
      const routes = this.placement.route(now, job, group)
      if (routes !== undefined) {
        this.context.counters.tasksPlacedAgain += group.length
        this.placement.send(now, job, routes)
      } else if (now + LOOK_AGAIN_MS < Math.min(giveUpAt, job.deadlineAt)) {
        const left = group.map((task) => task.index)
        this.schedule(now + LOOK_AGAIN_MS, job, left, giveUpAt)
      } else {
        this.ending.fail(now, job, noOtherOwner)
        return
      }
    }
  }

  private delayMs(now: number, job: Job, task: TaskRecord): number | undefined {
    const retried = task.attempt - 1
    return this.context.policies.retries.takeRetry(now, retried, draw(`${job.id}/${task.attempt}`))
  }

  private schedule(at: number, job: Job, indexes: readonly number[], giveUpAt: number): void {
    const item = { kind: DueKind.Retry, sequence: job.sequence, indexes, giveUpAt } as const
    this.context.due.schedule(at, item)
  }
}

/** The problem that an owner's report tells of. @internal */
export function reportedProblem(report: TaskReport): JobProblem {
  return problem(report.reason, report.detail, report.retryAfterMs)
}

/**
 * An owner dropped tasks because their deadline passed, which is a little before the job's. The
 * other owners give their word in the same moment, so the job ends with the last of them, or at
 * its deadline: it may turn out that none of it ran.
 */
function isDecidedAtDeadline(job: Job, why: JobProblem): boolean {
  return why.reason === Reason.DEADLINE_PASSED && job.inFlight > 0 && job.tasksEnded === 0
}

function isWaiting(task: TaskRecord): boolean {
  return task.phase === TaskPhase.Waiting
}

function outOfBudget(why: JobProblem): JobProblem {
  const detail = `The retry budget is used up after: ${why.detail}`
  return problem(Reason.RETRY_BUDGET, detail, why.retryAfterMs)
}

/** A number from 0 to 1 that is fixed by the seed, as machines draw no random numbers. */
function draw(seed: string): number {
  return parseInt(hash64(seed).slice(0, DRAW_DIGITS), 16) / DRAW_RANGE
}
