import { RankedQueue } from './RankedQueue'
import type { QueuedTask } from './TaskQueue'
import type { WaitingJob } from './WaitingJob'

/**
 * Serves the job with the least work left first, whatever waits. The best mean response time
 * of all orders, but large jobs may starve: a yardstick, in no preset.
 *
 * @public
 */
export class LeastWorkQueue<T extends QueuedTask> extends RankedQueue<T> {
  protected override rank(job: WaitingJob<T>): number {
    return job.unstartedWorkMs
  }

  protected override postpone(): boolean {
    return false
  }

  protected override noteArrival(): void {
    // Neither the caller nor the time of arrival counts.
  }
}
