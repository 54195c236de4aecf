import type { JobAnswer } from '@cherryhitch/protocol'
import { JobState, Outcome } from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import type { Job } from '../jobs/Job'
import { JobPhase } from '../jobs/Job'
import { formatKeyId } from '../keys/KeyBook'

/**
 * Keeps the answers that somebody may ask for later: of jobs answered asynchronously, and of jobs
 * with a key. The answer of any other job went to its one caller.
 *
 * @internal
 */
export class AnswerKeeper {
  /** Asynchronous jobs whose answer nobody has yet, by the time of their end. */
  private readonly endedAtByUnreadJob = new Map<string, number>()

  constructor(private readonly context: CoordinatorContext) {}

  /** Answers that a draining instance waits for a while to give. */
  get unreadCount(): number {
    return this.endedAtByUnreadJob.size
  }

  noteRead(jobId: string): void {
    this.endedAtByUnreadJob.delete(jobId)
  }

  expire(now: number): void {
    for (const [jobId, endedAt] of this.endedAtByUnreadJob) {
      if (now - endedAt < this.context.timing.drainAnswerHoldMs) return
      this.endedAtByUnreadJob.delete(jobId)
    }
  }

  onJobEnded(now: number, job: Job, answer: JobAnswer, before: JobPhase): void {
    if (!job.respondAsync && !job.isKeyed) return
    const keyId = job.isKeyed ? formatKeyId(job.caller, job.spec.submissionKey) : ''
    if (job.respondAsync && job.waiters.length === 0) this.endedAtByUnreadJob.set(job.id, now)
    this.context.answers.add(now, { jobId: job.id, caller: job.caller, answer, keyId })
    const entry = this.context.keys.get(keyId)
    if (entry?.jobId !== job.id) return
    entry.isRunning = false
    entry.answersAnyResend = isAnswerForAnyResend(job, answer, before)
    entry.answeredWaiters = [...job.waiters]
  }
}

/**
 * Whether a resend with the key gets this answer. A job that may run again does so after a
 * failure, or the caller could never mend it; one that must not run twice gets it always, unless
 * it truly did not run or the voters know more.
 */
function isAnswerForAnyResend(job: Job, answer: JobAnswer, before: JobPhase): boolean {
  if (answer.state === JobState.SUCCEEDED) return true
  if (job.spec.idempotent || before !== JobPhase.Running) return false
  return answer.outcome !== Outcome.NOT_RUN
}
