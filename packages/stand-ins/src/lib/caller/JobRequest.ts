/** One task as a stand-in caller submits it. @public */
export interface TaskRequest {
  readonly service: string
  /** Unique to this task of this submission; the endpoint echoes it. */
  readonly token: string
  /** True run time in milliseconds. */
  readonly runMs: number
  /** What the caller declares, which may be far off; undefined declares nothing. */
  readonly expectedRunMs?: number
  readonly cores?: number
  readonly memoryMb?: number
}

/** One submission. A resubmission sends the same one again. @public */
export interface JobRequest {
  /** Unique name of the submission. */
  readonly submission: string
  readonly caller: string
  /** Submission key; empty sends none. */
  readonly key: string
  readonly idempotent: boolean
  readonly deadlineMs: number
  /** When it is due to be sent, in milliseconds from the start of the load. */
  readonly arrivalMs: number
  /** When the caller gives it up, in milliseconds from sending; undefined never. */
  readonly cancelAfterMs?: number
  readonly tasks: readonly TaskRequest[]
}

/** Body of `POST /v1/jobs`. @internal */
export function jobBody(job: JobRequest): unknown {
  const tasks = job.tasks.map(({ service, token, runMs, expectedRunMs, cores, memoryMb }) => ({
    service,
    payload: { runMs, token },
    expectedRunMs,
    cores,
    memoryMb,
  }))
  return { idempotent: job.idempotent, deadlineMs: job.deadlineMs, tasks }
}
