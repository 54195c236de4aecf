import type { Problem } from '@cherryhitch/model'
import { ProblemRan } from '@cherryhitch/model'
import type { Reply } from '../exchange/Reply'
import { PROBLEM_TYPE } from '../exchange/Reply'

const TYPE_PREFIX = 'urn:cherryhitch:problem:'
const MS_PER_SECOND = 1000

/** Returns the problem type URI for a reason or refusal name. @internal */
export function problemType(name: string): string {
  return TYPE_PREFIX + name.replaceAll('_', '-')
}

/** Creates a response with a problem document. @internal */
export function problemReply(
  problem: Problem,
  headers: Readonly<Record<string, string>> = {},
): Reply {
  const { status } = problem
  return { status, contentType: PROBLEM_TYPE, headers, body: JSON.stringify(problem) }
}

/**
 * The `Retry-After` header for a delay, rounded up because the header allows only whole seconds.
 * The member `retryAfter` of the document keeps the milliseconds.
 *
 * @internal
 */
export function retryAfterHeader(waitMs: number): Readonly<Record<string, string>> {
  return { 'Retry-After': String(Math.max(1, Math.ceil(waitMs / MS_PER_SECOND))) }
}

/** Value of the member `retryAfter`, in seconds. @internal */
export function retryAfterSeconds(waitMs: number): number {
  return Math.ceil(waitMs) / MS_PER_SECOND
}

/** Response to an unexpected error; the work may already have started. @internal */
export function defectReply(): Reply {
  return problemReply({
    type: problemType('internal-error'),
    title: 'The instance failed while it handled the request.',
    status: 500,
    detail: 'Whether any of it ran is not known. Send it again only with the same key.',
    ran: ProblemRan.Unknown,
  })
}
