import { JobVerdict } from '@cherryhitch/protocol'
import type { Job } from '../jobs/Job'
import { lastUsefulAt } from './lastUsefulAt'
import { latestStart } from './latestStart'

/** A job that can no longer be served, and the answer for its caller. @internal */
export interface UnservableJob {
  readonly job: Job
  readonly verdict: JobVerdict
  readonly reason: string
  readonly retryAfterMs: number
}

/**
 * Time after which a refused caller may retry, in milliseconds: the backlog of a burst is gone
 * then.
 */
const RETRY_AFTER_MS = 1_000

/**
 * Finds the jobs to give up now.
 *
 * A job that never started is refused as soon as its answer would come too late to be useful. Without
 * late service it is also refused once it can't meet its objective while other jobs of the service
 * still can, since it would only get slots after them; with late service, admission decides that by
 * its forecast.
 *
 * A job that started goes on until its caller's deadline, since a late answer is delivered as well.
 * With tasks still waiting it ends as soon as the whole job would end too late to be useful.
 *
 * @internal
 */
export function findUnservableJobs(
  now: number,
  jobs: Iterable<Job>,
  hasLateService = false,
): readonly UnservableJob[] {
  const contendedServices = hasLateService ? new Set<string>() : findContended(now, jobs)
  const unservable: UnservableJob[] = []
  for (const job of jobs) {
    const one = assess(now, job, contendedServices)
    if (one !== undefined) unservable.push(one)
  }
  return unservable
}

/** Services with jobs that can still meet their objective and wait for their first slot. */
function findContended(now: number, jobs: Iterable<Job>): ReadonlySet<string> {
  const services = new Set<string>()
  for (const job of jobs) {
    if (!job.hasStarted && !isPastLatestStart(now, job)) services.add(job.route.service)
  }
  return services
}

function assess(
  now: number,
  job: Job,
  contendedServices: ReadonlySet<string>,
): UnservableJob | undefined {
  if (job.hasStarted) {
    // Some of its tasks still wait for slots, and would end too late for the answer to be useful.
    if (job.waiting.length > 0 && isTooLateToBeUseful(now, job)) {
      return withUnknownOutcome(job, 'the rest of it could not be done in time')
    }
  } else if (
    isTooLateToBeUseful(now, job) ||
    (isPastLatestStart(now, job) && contendedServices.has(job.route.service))
  ) {
    const reason = 'it could not be done in time'
    return { job, verdict: JobVerdict.REFUSED, reason, retryAfterMs: RETRY_AFTER_MS }
  }
  if (now < job.deadlineAt) return undefined
  return withUnknownOutcome(job, 'its deadline passed while it was under way')
}

function withUnknownOutcome(job: Job, reason: string): UnservableJob {
  return { job, verdict: JobVerdict.UNKNOWN, reason, retryAfterMs: 0 }
}

/** Whether a job can no longer meet its objective. */
function isPastLatestStart(now: number, job: Job): boolean {
  return now > latestStart(job, job.remainingMs())
}

/** Whether a job can no longer end while its answer is useful. */
function isTooLateToBeUseful(now: number, job: Job): boolean {
  return now + job.remainingMs() > lastUsefulAt(job)
}
