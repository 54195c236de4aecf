import { CliError } from './CliError'
import { ExitCode } from './ExitCode'
import type { HttpAnswer } from './httpClient'

const HTTP_ERRORS_FROM = 400
const CONFLICT = 409

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

function hintOf(problem: ProblemFields): string {
  if (problem.ran === 'unknown') return 'It may have run: find out before you send it again.'
  if (typeof problem.retryAfter === 'number') {
    return `It did not run; come back in ${problem.retryAfter} s.`
  }
  return 'It did not run.'
}

/**
 * Passes good answers on.
 *
 * @throws CliError for a problem document, with what it says of whether the work ran
 * @internal
 */
export function requireGood(answer: HttpAnswer): unknown {
  if (answer.status < HTTP_ERRORS_FROM) return answer.body
  const problem = isProblem(answer.body) ? answer.body : {}
  const detail = typeof problem.detail === 'string' ? problem.detail : `HTTP ${answer.status}`
  throw new CliError(exitCodeOf(answer.status, problem.ran), detail, hintOf(problem))
}
