import { parseTraceparent, rootTraceparent } from '@cherryhitch/model'
import { Effect } from 'effect'
import { randomUUID } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'
import type { Result } from 'ts-results'
import type { ApiRequest } from '../exchange/ApiRequest'
import { bodyDecoder } from '../exchange/decodeBody'
import type { Reply } from '../exchange/Reply'
import type { RequestError } from '../problems/RequestError'
import type { Handler } from '../routing/Router'
import type { HttpLimits } from '../server/HttpServerOptions'
import type { JobService } from '../services/JobService'
import { answerReply } from './answerReply'
import { createJobSpec } from './createJobSpec'
import { jobBodySchema } from './jobBody'
import type { JobBody } from './jobBody'
import { requireKeyIfNonIdempotent, readSubmissionKey } from './submissionKey'
import { Ok } from '@cherryhitch/model'

interface Submission {
  readonly body: JobBody
  readonly key: string
}

/** Handles `POST /v1/jobs`. @internal */
export function submitJob(jobs: JobService, limits: HttpLimits): Handler {
  const decode = bodyDecoder(jobBodySchema(limits), limits.nestingDepth)
  const nextTraceparent = traceparentSource()

  function read(req: ApiRequest): Result<Submission, RequestError> {
    return readSubmissionKey(req.headers).andThen((key) =>
      decode(req.body).andThen((body) =>
        requireKeyIfNonIdempotent(body.idempotent, key).andThen(() => Ok({ body, key })),
      ),
    )
  }

  return (req) => {
    const submission = read(req)
    if (submission.err) return Effect.fail(submission.val)
    const { body, key } = submission.val
    const spec = createJobSpec(body, {
      caller: req.sender,
      submissionKey: key,
      traceparent: readTraceparent(req.headers) ?? nextTraceparent(),
      defaultDeadlineMs: limits.defaultDeadlineMs,
      waitedMs: req.now - req.receivedAt,
    })
    const respondAsync = prefersAsync(req.headers)
    return Effect.map(jobs.submit(spec, respondAsync), (answer) =>
      withPreference(answerReply(answer), respondAsync),
    )
  }
}

/** Generates system-wide unique root traceparents from one random seed per process. */
function traceparentSource(): () => string {
  const seed = randomUUID()
  let count = 0
  return () => {
    count += 1
    return rootTraceparent(`${seed}/${count}`)
  }
}

function readTraceparent(headers: IncomingHttpHeaders): string | undefined {
  const text = headers.traceparent
  if (typeof text !== 'string' || parseTraceparent(text) === undefined) return undefined
  return text
}

/** Reads `Prefer: respond-async` (RFC 7240), which may be one of several preferences. */
function prefersAsync(headers: IncomingHttpHeaders): boolean {
  const prefer = headers.prefer
  const text = Array.isArray(prefer) ? prefer.join(',') : (prefer ?? '')
  return text.split(',').some((part) => part.trim().toLowerCase() === 'respond-async')
}

function withPreference(reply: Reply, respondAsync: boolean): Reply {
  if (!respondAsync) return reply
  return { ...reply, headers: { ...reply.headers, 'Preference-Applied': 'respond-async' } }
}
