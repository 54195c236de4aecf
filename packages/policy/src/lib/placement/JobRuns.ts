import { LruMap } from '../util/LruMap'

/** Jobs whose finished runs are remembered. */
const MAX_JOBS = 4_096

/** A run that has ended, compared with its estimate. @internal */
export interface FinishedRun {
  readonly endpoint: string
  /** Logarithm of the run time divided by its estimate. */
  readonly logRatio: number
}

/**
 * Collects the runs of a job until all of its tasks have ended. Compared with one another only
 * then, short runs, which end first, count as much as long ones.
 *
 * @internal
 */
export class JobRuns {
  private readonly jobs = new LruMap<string, FinishedRun[]>(MAX_JOBS)

  /** Adds a run; returns all runs of the job with its last one, and none before. */
  add(job: string, tasks: number, run: FinishedRun): readonly FinishedRun[] {
    if (tasks <= 1) return [run]
    const runs = this.jobs.get(job) ?? []
    runs.push(run)
    if (runs.length < tasks) {
      this.jobs.set(job, runs)
      return []
    }
    this.jobs.delete(job)
    return runs
  }
}
