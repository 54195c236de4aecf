import type { JobAnswer } from '@cherryhitch/protocol'
import { JobState } from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import { formatKeyId } from '../keys/KeyTable'
import type { TaskTracker } from '../placement/TaskTracker'
import type { Job } from './Job'
import { JobPhase } from './Job'
import type { JobProblem } from './jobAnswers'
import { refusedAnswer, succeededAnswer, unsuccessfulAnswer } from './jobAnswers'
import { jobSpan } from './jobSpans'

/** Called at the end of each job, with the phase that the job was in before. @internal */
export type JobEndListener = (now: number, job: Job, answer: JobAnswer, before: JobPhase) => void

/** Ends jobs; the only place that sends a job's complete answer to its waiters. @internal */
export class JobEnding {
  private readonly listeners: JobEndListener[] = []

  constructor(
    private readonly context: CoordinatorContext,
    private readonly tracker: TaskTracker,
  ) {}

  listen(listener: JobEndListener): void {
    this.listeners.push(listener)
  }

  succeed(now: number, job: Job): void {
    this.context.counters.succeeded++
    this.end(now, job, succeededAnswer(job, this.context.policies))
  }

  fail(now: number, job: Job, why: JobProblem): void {
    this.context.counters.failed++
    this.end(now, job, unsuccessfulAnswer(job, JobState.FAILED, why, this.context.policies))
  }

  cancel(now: number, job: Job, why: JobProblem): void {
    this.context.counters.cancelled++
    this.end(now, job, unsuccessfulAnswer(job, JobState.CANCELLED, why, this.context.policies))
  }

  /** Must be called only for a job of which no task was placed. */
  refuse(now: number, job: Job, why: JobProblem): void {
    this.context.counters.refused++
    this.end(now, job, refusedAnswer(job.id, job.tasks.length, why, this.context.policies))
  }

  /** Ends a job with the answer of the job that holds its submission key. */
  endWith(now: number, job: Job, answer: JobAnswer): void {
    this.end(now, job, answer)
  }

  /** Removes a job whose waiters were answered or moved to another job. */
  discard(job: Job): void {
    job.phase = JobPhase.Ended
    this.context.jobs.remove(job)
    this.context.keys.remove(formatKeyId(job.caller, job.spec.submissionKey), job.id)
  }

  private end(now: number, job: Job, answer: JobAnswer): void {
    if (job.phase === JobPhase.Ended) return
    const before = job.phase
    job.phase = JobPhase.Ended
    const { outbox, jobs, replies } = this.context
    for (const waiter of job.waiters) replies.send(waiter, answer)
    const owners = this.tracker.abandon(now, job)
    for (const owner of owners) outbox.cancel(owner, job.id, answer.reason)
    jobs.remove(job)
    outbox.span(jobSpan(job, now, answer.state === JobState.SUCCEEDED))
    for (const listener of this.listeners) listener(now, job, answer, before)
  }
}
