import type { Problem } from '@cherryhitch/model'
import { ProblemRan } from '@cherryhitch/model'
import type { Reply } from '../exchange/Reply'
import type { RequestError } from './RequestError'
import { RequestErrorKind } from './RequestError'
import { problemReply, problemType } from './problemReply'

interface RefusalEntry {
  readonly status: number
  readonly title: string
}

/** Status and title of each refusal by the HTTP layer. @internal */
export const refusals: Readonly<Record<RequestErrorKind, RefusalEntry>> = {
  [RequestErrorKind.Malformed]: { status: 400, title: 'The request is malformed.' },
  [RequestErrorKind.Unauthenticated]: { status: 401, title: 'No valid token was given.' },
  [RequestErrorKind.Forbidden]: { status: 403, title: 'The token is for another interface.' },
  [RequestErrorKind.NotFound]: { status: 404, title: 'There is nothing at this path.' },
  [RequestErrorKind.MethodNotAllowed]: {
    status: 405,
    title: 'The path does not take this method.',
  },
  [RequestErrorKind.BodyTimeout]: { status: 408, title: 'The request came too slowly.' },
  [RequestErrorKind.BodyTooLarge]: { status: 413, title: 'The body is too large.' },
  [RequestErrorKind.UnsupportedType]: { status: 415, title: 'The body is not plain JSON.' },
  [RequestErrorKind.ExpectationFailed]: {
    status: 417,
    title: 'The expectation can not be met.',
  },
  [RequestErrorKind.HeadersTooLarge]: { status: 431, title: 'The headers are too large.' },
  [RequestErrorKind.Overloaded]: { status: 503, title: 'The instance is overloaded.' },
}

/** Response to a refusal, with `ran: no` because no service was called. @internal */
export function requestErrorProblem(err: RequestError): Problem {
  const { status, title } = refusals[err.kind]
  const detail = err.message
  return { type: problemType(err.kind), title, status, detail, ran: ProblemRan.No }
}

export function requestErrorReply(err: RequestError): Reply {
  return problemReply(requestErrorProblem(err), err.headers)
}
