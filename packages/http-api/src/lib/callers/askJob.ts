import type { Problem } from '@cherryhitch/model'
import { ProblemRan, parseJobId } from '@cherryhitch/model'
import { Effect } from 'effect'
import type { Result } from 'ts-results'
import type { ApiRequest } from '../exchange/ApiRequest'
import type { Reply } from '../exchange/Reply'
import { problemReply, problemType } from '../problems/problemReply'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import { Err, Ok } from '@cherryhitch/model'

const NOT_FOUND = 404

/** Reads the job id from the path. @internal */
export function readJobId(req: ApiRequest): Result<string, RequestError> {
  const jobId = req.params.id ?? ''
  if (parseJobId(jobId) !== undefined) return Ok(jobId)
  const message = 'The path names no job: a job id looks like entry-1.mb2k3x.7.'
  return Err(new RequestError(RequestErrorKind.Malformed, message))
}

/**
 * Response for a job that no instance knows. The job may still have run: its coordinator may
 * have restarted, or may have discarded its record.
 *
 * @internal
 */
export function unknownJobReply(jobId: string): Reply {
  const problem: Problem = {
    type: problemType('job-unknown'),
    title: 'The job is not known.',
    status: NOT_FOUND,
    detail: 'It is of another caller, was forgotten, or its coordinator was restarted or is lost.',
    ran: ProblemRan.Unknown,
    jobId,
  }
  return problemReply(problem)
}

/** Fails with the error of a parsed request, or continues with its value. @internal */
export function withParsed<T>(
  parsed: Result<T, RequestError>,
  next: (value: T) => Effect.Effect<Reply, RequestError>,
): Effect.Effect<Reply, RequestError> {
  return parsed.err ? Effect.fail(parsed.val) : next(parsed.val)
}
