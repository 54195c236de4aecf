import type { JobAnswer, JobSpec } from '@cherryhitch/protocol'
import type { Effect } from 'effect'

/** A caller's query or cancellation of a job. @public */
export interface JobQuestion {
  readonly jobId: string
  readonly caller: string
  /** Also cancels the job. */
  readonly cancel: boolean
  /** Delays the answer until the job has ended. */
  readonly wait: boolean
}

/** Operations of the instance behind the caller API. @public */
export abstract class JobService {
  /**
   * Submits a job and answers when it has ended, or at once with `respondAsync`.
   * The effect is interrupted when the caller disconnects.
   */
  abstract submit(job: JobSpec, respondAsync: boolean): Effect.Effect<JobAnswer>

  /** Queries a job of any instance; undefined if no instance knows it. */
  abstract query(question: JobQuestion): Effect.Effect<JobAnswer | undefined>
}
