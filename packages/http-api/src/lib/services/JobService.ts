import type { JobAnswer, JobSpec } from '@cherryhitch/protocol'
import type { Effect } from 'effect'

/** A caller's question about a job. @public */
export interface JobQuestion {
  readonly jobId: string
  readonly caller: string
  /** Cancel the job as well. */
  readonly cancel: boolean
  /** Answer when the job has ended rather than at once. */
  readonly wait: boolean
}

/** What the caller interface needs of the instance. @public */
export abstract class JobService {
  /**
   * Submits a job and answers when it has ended, or at once with `respondAsync`.
   * Interrupting the effect tells that the caller's connection is gone.
   */
  abstract submit(job: JobSpec, respondAsync: boolean): Effect.Effect<JobAnswer>

  /** Asks after a job at any instance; undefined when nobody knows it. */
  abstract query(question: JobQuestion): Effect.Effect<JobAnswer | undefined>
}
