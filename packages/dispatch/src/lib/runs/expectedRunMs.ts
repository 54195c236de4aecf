import type { Task } from '../jobs/Job'

/**
 * Expected duration of a run of a task at an endpoint, in milliseconds.
 *
 * @param slowness - ratio of run times at the endpoint to those of the same work at its peers
 * @internal
 */
export function expectedRunMs(task: Task, slowness: number): number {
  return task.job.runMs(task) * slowness
}
