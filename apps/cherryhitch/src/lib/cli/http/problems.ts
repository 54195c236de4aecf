import { CliError } from '../CliError'
import { ExitCode } from '../ExitCode'
import type { HttpAnswer } from './HttpClient'

const HTTP_ERRORS_FROM = 400
const UNAUTHENTICATED = 401
const FORBIDDEN = 403
const CONFLICT = 409
const UNPROCESSABLE = 422
const UNAVAILABLE = 503

interface ProblemFields {
  readonly title?: unknown
  readonly detail?: unknown
  readonly ran?: unknown
  readonly retryAfter?: unknown
}

function isProblem(body: unknown): body is ProblemFields {
  return typeof body === 'object' && body !== null
}

function exitCodeOf(status: number, ran: unknown): ExitCode {
  if (ran === 'unknown') return ExitCode.Unknown
  if (status === CONFLICT) return ExitCode.Conflict
  if (ran === 'no') return ExitCode.NotRun
  return ExitCode.Failed
}

function hintOf(status: number, problem: ProblemFields): string {
  if (problem.ran === 'unknown') return 'It may have run: find out before you send it again.'
  if (typeof problem.retryAfter === 'number') {
    return `It did not run; come back in ${problem.retryAfter} s.`
  }
  if (status === UNAUTHENTICATED) return 'It did not run; give your token with --token-file.'
  if (status === FORBIDDEN) return 'It did not run; the token is for another interface.'
  if (status === UNPROCESSABLE) return 'It did not run, and sending the same again does not help.'
  return 'It did not run.'
}

function detailOf(status: number, { title, detail }: ProblemFields): string {
  const texts = [title, detail].filter((text) => typeof text === 'string' && text !== '')
  return texts.length > 0 ? texts.join(' ') : `HTTP ${status}`
}

/**
 * Passes good answers on.
 *
 * @throws CliError for a problem document, with what it says of whether the work ran
 * @internal
 */
export function requireGood(answer: HttpAnswer): unknown {
  const { status } = answer
  if (status < HTTP_ERRORS_FROM) return answer.body
  const problem = isProblem(answer.body) ? answer.body : {}
  throw new CliError(
    exitCodeOf(status, problem.ran),
    detailOf(status, problem),
    hintOf(status, problem),
  )
}

/**
 * The same for a read by an operator, where nothing could have run.
 *
 * @throws CliError
 * @internal
 */
export function requireRead(answer: HttpAnswer): unknown {
  if (answer.status !== UNAVAILABLE) return requireGood(answer)
  const problem = isProblem(answer.body) ? answer.body : {}
  throw unreachableQuorum(detailOf(answer.status, problem))
}

/** What can only be read through the quorum can't be read now. @internal */
export function unreachableQuorum(message: string): CliError {
  return new CliError(
    ExitCode.Unreachable,
    message,
    'Ask again later, or an instance of another zone.',
  )
}
