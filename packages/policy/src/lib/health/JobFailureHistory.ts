import { LruMap } from '../util/LruMap'

/** Number of jobs kept: about a minute of single-task jobs at 320 tasks/s per availability zone. */
const MAX_JOBS = 20_000

interface JobHistory {
  succeeded: boolean
  failedAt: readonly string[]
}

/** Shared empty list, since most jobs never fail. */
const noEndpoints: readonly string[] = []

/** Tracks at which endpoints jobs failed, to detect jobs that fail everywhere. @internal */
export class JobFailureHistory {
  private readonly jobs = new LruMap<string, JobHistory>(MAX_JOBS)

  recordSuccess(jobId: string): void {
    this.historyOf(jobId).succeeded = true
  }

  recordFailure(jobId: string, endpoint: string): void {
    const history = this.historyOf(jobId)
    if (!history.failedAt.includes(endpoint)) history.failedAt = [...history.failedAt, endpoint]
  }

  /** Endpoints at which the job failed; empty once the job has succeeded at any endpoint. */
  failedOnlyAt(jobId: string): readonly string[] {
    const history = this.jobs.get(jobId)
    return history === undefined || history.succeeded ? noEndpoints : history.failedAt
  }

  private historyOf(jobId: string): JobHistory {
    const known = this.jobs.get(jobId)
    if (known !== undefined) return known
    const history = { succeeded: false, failedAt: noEndpoints }
    this.jobs.set(jobId, history)
    return history
  }
}
