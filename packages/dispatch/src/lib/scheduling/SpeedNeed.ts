import type { Task } from '../jobs/Job'
import { longestOfTasks } from './longestOfTasks'

/** How fast an endpoint has to be for a task. @internal */
export interface SpeedNeed {
  /** Largest slowness at which the task is expected to end in time if it starts now. */
  readonly maxSlowness: number
  /** Largest slowness at which it does so with a reserve. */
  readonly easySlowness: number
}

/** Share of the largest slowness up to which the errors of estimates hardly make a job late. */
const RESERVE_SHARE = 0.7

/**
 * The speed that a task needs for its job to be in time. The job ends with the longest of its
 * tasks, so the more of them there are, the more time is reserved.
 *
 * @internal
 */
export function speedNeedOf(now: number, task: Task): SpeedNeed {
  const { job } = task
  const dueAt = Math.min(job.objectiveAt, job.deadlineAt) - job.startMarginMs
  const runMs = Math.max(1, job.runMs(task))
  const laterStepsMs = Math.max(0, job.remainingMs() - runMs)
  const longestMs = runMs * longestOfTasks(job.step(task).count)
  const maxSlowness = (dueAt - now - laterStepsMs) / longestMs
  return { maxSlowness, easySlowness: RESERVE_SHARE * maxSlowness }
}
