import type { Job } from '../jobs/Job'
import type { OrderedJobs } from './QueueShares'

/**
 * Free CPU that a job has to leave if it is beyond the share of its queue, or late. A job in progress
 * leaves none: the work spent on it would be lost if its later tasks waited too long.
 *
 * @internal
 */
export function headroomOf(job: Job, { beyondShare, shares }: OrderedJobs): number {
  if (job.isInProgress) return 0
  if (!beyondShare.has(job) && job.lateSince === undefined) return 0
  return shares.get(job.route.name)?.headroomCpuMillis ?? 0
}
