import type { Problem } from '@cherryhitch/model'
import { ProblemRan } from '@cherryhitch/model'
import type { Reply } from '../exchange/Reply'
import { PROBLEM_TYPE } from '../exchange/Reply'

const TYPE_PREFIX = 'urn:cherryhitch:problem:'
const MS_PER_SECOND = 1000

/** URI that names a kind of problem, from its word in the tables. @internal */
export function problemType(word: string): string {
  return TYPE_PREFIX + word.replaceAll('_', '-')
}

/** Makes a reply of a problem document. @internal */
export function problemReply(
  problem: Problem,
  headers: Readonly<Record<string, string>> = {},
): Reply {
  const { status } = problem
  return { status, contentType: PROBLEM_TYPE, headers, body: JSON.stringify(problem) }
}

/**
 * The `Retry-After` header for a wait. The header knows whole seconds only, so it is rounded
 * up; the member `retryAfter` of the document keeps the milliseconds.
 *
 * @internal
 */
export function retryAfterHeader(waitMs: number): Readonly<Record<string, string>> {
  return { 'Retry-After': String(Math.max(1, Math.ceil(waitMs / MS_PER_SECOND))) }
}

/** The member `retryAfter`, in seconds. @internal */
export function retryAfterSeconds(waitMs: number): number {
  return Math.ceil(waitMs) / MS_PER_SECOND
}

/** What is said when a service broke down: its work may have been under way. @internal */
export function defectReply(): Reply {
  return problemReply({
    type: problemType('internal-error'),
    title: 'The instance failed while it handled the request.',
    status: 500,
    detail: 'Whether any of it ran is not known. Send it again only with the same key.',
    ran: ProblemRan.Unknown,
  })
}
