import type { Task } from '../jobs/Job'

/**
 * Whether a task's placement depends only on its resource needs and the endpoint's speed.
 *
 * @internal
 */
export function isUnconstrained(task: Task): boolean {
  if (task.avoidedEndpoints.size > 0 || task.failures > 0 || task.isSuspect) return false
  const { requiredLabel, maxPerEndpoint, dataRack } = task.job.step(task)
  return requiredLabel === '' && maxPerEndpoint === 0 && dataRack === ''
}
