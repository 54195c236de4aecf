import { LruMap } from '../util/LruMap'

/** Jobs remembered: at 320 tasks a second in a zone, about a minute of single enquiries. */
const MAX_JOBS = 20_000

interface JobHistory {
  succeeded: boolean
  failedAt: readonly string[]
}

/** Shared by the many jobs that fail nowhere. */
const nowhere: readonly string[] = []

/** Remembers where jobs failed, to tell a job that fails everywhere. @internal */
export class JobFailures {
  private readonly jobs = new LruMap<string, JobHistory>(MAX_JOBS)

  noteSuccess(jobId: string): void {
    this.historyOf(jobId).succeeded = true
  }

  noteFailure(jobId: string, endpoint: string): void {
    const history = this.historyOf(jobId)
    if (!history.failedAt.includes(endpoint)) history.failedAt = [...history.failedAt, endpoint]
  }

  /** Where a job failed that succeeded nowhere; none for a job that did. */
  failedOnlyAt(jobId: string): readonly string[] {
    const history = this.jobs.get(jobId)
    return history === undefined || history.succeeded ? nowhere : history.failedAt
  }

  private historyOf(jobId: string): JobHistory {
    const known = this.jobs.get(jobId)
    if (known !== undefined) return known
    const history = { succeeded: false, failedAt: nowhere }
    this.jobs.set(jobId, history)
    return history
  }
}
