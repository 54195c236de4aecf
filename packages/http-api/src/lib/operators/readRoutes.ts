import { ProblemRan } from '@cherryhitch/model'
import { Effect } from 'effect'
import type { Result } from 'ts-results'
import type { ApiRequest } from '../exchange/ApiRequest'
import type { Reply } from '../exchange/Reply'
import { jsonReply } from '../exchange/Reply'
import { problemReply, problemType, retryAfterHeader } from '../problems/problemReply'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import type { Handler, Route } from '../routing/Router'
import { Method } from '../routing/Router'
import type { OperatorService } from '../services/OperatorService'
import {
  viewAudit,
  viewEndpoint,
  viewInstance,
  viewJob,
  viewSettings,
  viewVoters,
  viewZones,
} from './views'
import { Err, Ok } from '@cherryhitch/model'

const OK = 200
const UNAVAILABLE = 503
const RETRY_AFTER_MS = 1000
const DEFAULT_AUDIT_LIMIT = 100
const MAX_AUDIT_LIMIT = 1000
const countPattern = /^\d{1,15}$/

/** Read-only routes for operators. @internal */
export function readRoutes(operators: OperatorService): readonly Route[] {
  return [
    get('v1/instances', (req) =>
      Effect.map(operators.instances(), (instances) =>
        jsonReply(OK, { instances: instances.map((view) => viewInstance(view, req.now)) }),
      ),
    ),
    get('v1/endpoints', () =>
      Effect.map(operators.endpoints(), (endpoints) =>
        jsonReply(OK, { endpoints: endpoints.map(viewEndpoint) }),
      ),
    ),
    get('v1/jobs', () =>
      Effect.map(operators.jobs(), (jobs) => jsonReply(OK, { jobs: jobs.map(viewJob) })),
    ),
    get('v1/settings', () =>
      Effect.map(operators.settings(), (status) => jsonReply(OK, viewSettings(status))),
    ),
    get('v1/zones', () =>
      Effect.map(operators.settings(), (status) => jsonReply(OK, viewZones(status))),
    ),
    get('v1/audit', readAudit(operators)),
    get('v1/voters', () =>
      Effect.map(operators.voters(), (voters) =>
        voters === undefined ? noVotersReply() : jsonReply(OK, viewVoters(voters)),
      ),
    ),
  ]
}

function get(path: string, handle: Handler): Route {
  return { method: Method.Get, path, takesBody: false, handle }
}

function readAudit(operators: OperatorService): Handler {
  return (req) => {
    const from = readCount(req, 'from', 0)
    if (from.err) return Effect.fail(from.val)
    const limit = readCount(req, 'limit', DEFAULT_AUDIT_LIMIT)
    if (limit.err) return Effect.fail(limit.val)
    const bounded = Math.min(limit.val, MAX_AUDIT_LIMIT)
    return Effect.map(operators.audit(from.val, bounded), (page) => jsonReply(OK, viewAudit(page)))
  }
}

function readCount(req: ApiRequest, name: string, fallback: number): Result<number, RequestError> {
  const text = req.query.get(name)
  if (text === null) return Ok(fallback)
  if (countPattern.test(text)) return Ok(Number(text))
  return Err(new RequestError(RequestErrorKind.Malformed, `${name}: a whole number is expected.`))
}

function noVotersReply(): Reply {
  const problem = {
    type: problemType('no-quorum'),
    title: 'The voters can not be reached.',
    status: UNAVAILABLE,
    detail: 'Their state can only be read through the quorum; ask an instance of another zone.',
    ran: ProblemRan.No,
  }
  return problemReply(problem, retryAfterHeader(RETRY_AFTER_MS))
}
