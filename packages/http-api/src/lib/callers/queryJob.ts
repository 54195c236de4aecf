import { Effect } from 'effect'
import type { Result } from 'ts-results'
import type { ApiRequest } from '../exchange/ApiRequest'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import type { Handler } from '../routing/Router'
import type { JobQuestion, JobService } from '../services/JobService'
import { answerReply } from './answerReply'
import { readJobId, unknownJobReply, withParsed } from './askJob'
import { Err, Ok } from '@cherryhitch/model'

/** Handles `GET /v1/jobs/{id}`: the same response as to the submission. @internal */
export function queryJob(jobs: JobService): Handler {
  return (req) =>
    withParsed(readQuestion(req), (question) =>
      Effect.map(jobs.query(question), (answer) =>
        answer === undefined ? unknownJobReply(question.jobId) : answerReply(answer),
      ),
    )
}

function readQuestion(req: ApiRequest): Result<JobQuestion, RequestError> {
  return readJobId(req).andThen((jobId) =>
    readWait(req).andThen((wait) => Ok({ jobId, caller: req.sender, cancel: false, wait })),
  )
}

function readWait(req: ApiRequest): Result<boolean, RequestError> {
  const wait = req.query.get('wait') ?? 'false'
  if (wait === 'true' || wait === 'false') return Ok(wait === 'true')
  return Err(new RequestError(RequestErrorKind.Malformed, 'wait: true or false is expected.'))
}
