import { RankedQueue } from './RankedQueue'
import type { QueuedTask } from './TaskQueue'
import type { WaitingJob } from './WaitingJob'

/**
 * Serves the job with the least remaining work first. This order has the lowest mean response time,
 * but large jobs may starve. It serves as a reference for comparison; no preset selects it.
 *
 * @public
 */
export class LeastWorkQueue<T extends QueuedTask> extends RankedQueue<T> {
  protected override rank(job: WaitingJob<T>): number {
    return job.unstartedWorkMs
  }

  protected override adjustRank(): boolean {
    return false
  }

  protected override onJobArrival(): void {
    // The rank depends on neither the caller nor the time of arrival.
  }
}
