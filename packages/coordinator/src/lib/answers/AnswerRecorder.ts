import type { JobAnswer } from '@cherryhitch/protocol'
import { JobState, Outcome } from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import type { Job } from '../jobs/Job'
import { JobPhase } from '../jobs/Job'
import { formatKeyId } from '../keys/KeyTable'

/**
 * Stores the answers that may be requested later: those of asynchronous jobs and of jobs with a
 * submission key. The answer to any other job is sent to its only caller and not kept.
 *
 * @internal
 */
export class AnswerRecorder {
  /** Asynchronous jobs whose answer no caller has fetched yet, in the order in which they ended. */
  private readonly endedAtByUnreadJob = new Map<string, number>()

  constructor(private readonly context: CoordinatorContext) {}

  /** Number of answers not fetched yet, for which a draining instance waits a limited time. */
  get unreadCount(): number {
    return this.endedAtByUnreadJob.size
  }

  markRead(jobId: string): void {
    this.endedAtByUnreadJob.delete(jobId)
  }

  expire(now: number): void {
    for (const [jobId, endedAt] of this.endedAtByUnreadJob) {
      if (now - endedAt < this.context.timing.drainAnswerHoldMs) return
      this.endedAtByUnreadJob.delete(jobId)
    }
  }

  onJobEnded(now: number, job: Job, answer: JobAnswer, phaseBefore: JobPhase): void {
    if (!job.respondAsync && !job.isKeyed) return
    const keyId = job.isKeyed ? formatKeyId(job.caller, job.spec.submissionKey) : ''
    if (job.respondAsync && job.waiters.length === 0) this.endedAtByUnreadJob.set(job.id, now)
    this.context.answers.add(now, { jobId: job.id, caller: job.caller, answer, keyId })
    const entry = this.context.keys.get(keyId)
    if (entry?.jobId !== job.id) return
    entry.isRunning = false
    entry.answersAnyResend = isAnswerForAnyResend(job, answer, phaseBefore)
    entry.repliedTo = [...job.waiters]
  }
}

/**
 * Whether every resend with the key gets this answer.
 *
 * An idempotent job runs again after a failure, because otherwise the caller could never recover
 * under that key. A non-idempotent job must not run twice, so a resend gets its answer, with two
 * exceptions: the job did not run, or it ended while its key was being claimed or was held by
 * another job, in which case a resend has to claim the key again.
 */
function isAnswerForAnyResend(job: Job, answer: JobAnswer, phaseBefore: JobPhase): boolean {
  if (answer.state === JobState.SUCCEEDED) return true
  if (job.spec.idempotent || phaseBefore !== JobPhase.Running) return false
  return answer.outcome !== Outcome.NOT_RUN
}
