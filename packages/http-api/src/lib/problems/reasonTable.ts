import { Reason } from '@cherryhitch/protocol'

/** HTTP status and title shown to callers for a reason. @internal */
export interface ReasonEntry {
  readonly status: number
  readonly title: string
}

/**
 * Status and title of each reason; the only definition of both.
 *
 * 4xx: the caller has to change the request, or caused the result. 502: a component behind the
 * instance was lost or failed. 503: a later retry can succeed. 504: the deadline passed.
 *
 * @internal
 */
export const reasonTable: Readonly<Record<Reason, ReasonEntry>> = {
  [Reason.UNSPECIFIED]: { status: 500, title: 'The job failed without a reason.' },
  [Reason.NEVER_FITS]: { status: 422, title: 'No worker could ever run this job.' },
  [Reason.TOO_LATE]: { status: 503, title: 'The job would miss its deadline.' },
  [Reason.QUEUE_FULL]: { status: 503, title: 'The queue is full.' },
  [Reason.CALLER_LIMIT]: { status: 429, title: 'The share of this caller is used up.' },
  [Reason.NO_ENDPOINT]: { status: 503, title: 'No endpoint of the service is known.' },
  [Reason.DEADLINE_PASSED]: { status: 504, title: 'The deadline passed.' },
  [Reason.CANCELLED]: { status: 409, title: 'The job was cancelled.' },
  [Reason.ENDPOINT_REFUSED]: { status: 503, title: 'An endpoint refused a task.' },
  [Reason.ENDPOINT_LOST]: { status: 502, title: 'An endpoint was lost.' },
  [Reason.OWNER_LOST]: { status: 502, title: 'The owner of an endpoint was lost.' },
  [Reason.COORDINATOR_LOST]: { status: 502, title: 'The coordinator of the job was lost.' },
  [Reason.NO_QUORUM]: { status: 503, title: 'The quorum can not be reached.' },
  [Reason.SIBLING_FAILED]: { status: 502, title: 'Another task of the job failed.' },
  [Reason.DRAINING]: { status: 503, title: 'The instance is shutting down.' },
  [Reason.RETRY_BUDGET]: { status: 503, title: 'The budget for retries is used up.' },
  [Reason.TASK_FAILED]: { status: 502, title: 'A task failed at its endpoint.' },
  [Reason.KEY_OUTCOME_UNKNOWN]: {
    status: 409,
    title: 'The outcome of the first submission is not known.',
  },
  [Reason.KEY_REUSED]: { status: 422, title: 'The key was used with other content.' },
  [Reason.PRESET_LIMIT]: { status: 503, title: 'The preset in force admits no more.' },
}

/** Name of a reason in response bodies, such as `queue_full`. @internal */
export function reasonName(reason: Reason): string {
  return Reason[reason].toLowerCase()
}
