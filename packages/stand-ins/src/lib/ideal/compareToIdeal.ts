import type { JobRequest } from '../caller/JobRequest'
import type { CallerLedger } from '../ledger/CallerLedger'
import { CallerOutcome } from '../ledger/CallerLedger'
import type { IdealOptions } from './idealSchedule'
import { idealSchedule } from './idealSchedule'

/** One answered job beside its ideals, all in milliseconds. @public */
export interface ResponseComparison {
  readonly submission: string
  readonly caller: string
  readonly tasks: number
  readonly responseMs: number
  readonly idealMs: number
  readonly longestPathMs: number
  /** Response time as a multiple of the ideal. */
  readonly ratio: number
}

/**
 * Sets the response times of the answered jobs beside the ideal schedule of the same work.
 *
 * Jobs that were refused, failed or cancelled are left out on both sides: work that was not
 * done must not crowd the ideal schedule, which would flatter the system that refused it.
 *
 * @public
 */
export function compareToIdeal(
  jobs: readonly JobRequest[],
  ledger: CallerLedger,
  options: Partial<IdealOptions> & Pick<IdealOptions, 'slots'>,
): readonly ResponseComparison[] {
  const responses = new Map(
    ledger
      .submissions()
      .filter(({ last }) => last.outcome === CallerOutcome.Answered)
      .map(({ submission, responseMs }) => [submission, responseMs]),
  )
  const answered = jobs.filter(({ submission }) => responses.has(submission))
  const ideals = idealSchedule(answered, options)
  return answered.flatMap((job, place) => {
    const ideal = ideals[place]
    const responseMs = responses.get(job.submission)
    if (ideal === undefined || responseMs === undefined) return []
    const { scheduledMs: idealMs, longestPathMs } = ideal
    const { submission, caller, tasks } = job
    const ratio = responseMs / idealMs
    return [{ submission, caller, tasks: tasks.length, responseMs, idealMs, longestPathMs, ratio }]
  })
}
