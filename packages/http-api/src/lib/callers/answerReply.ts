import type { Problem } from '@cherryhitch/model'
import { ProblemRan } from '@cherryhitch/model'
import type { JobAnswer } from '@cherryhitch/protocol'
import { JobState, Outcome } from '@cherryhitch/protocol'
import type { Reply } from '../exchange/Reply'
import { JSON_TYPE, jsonReply } from '../exchange/Reply'
import {
  defectReply,
  problemReply,
  problemType,
  retryAfterHeader,
  retryAfterSeconds,
} from '../problems/problemReply'
import { reasonTable, reasonName } from '../problems/reasonTable'

const OK = 200
const ACCEPTED = 202
/** Statuses for which a later retry can succeed. */
const RETRYABLE: ReadonlySet<number> = new Set([429, 503])
/** `Retry-After` of a refusal that carries no delay of its own. */
const DEFAULT_RETRY_AFTER_MS = 1000

/** Problem document (RFC 9457) of a job that did not succeed. @internal */
export interface JobProblem extends Problem {
  readonly jobId: string
  readonly state: string
  readonly reason: string
  readonly settingsVersion: number
  readonly settingsCurrent: boolean
}

/** Name of a job state in response bodies, such as `succeeded`. @internal */
export function stateName(state: JobState): string {
  return JobState[state].toLowerCase()
}

/** Characters that a JSON text can start and end with. */
const openings = '{["-0123456789tfn'
const closings = '}]"0123456789el'

/**
 * Checks only the first and last character of an output, which detects empty texts and other
 * formats. Owners produce outputs with `JSON.stringify`; parsing them here again would cost a
 * tenth of the request's processing (`docs/design/http-interfaces.md`).
 */
function looksLikeJson(output: string): boolean {
  const first = output.at(0)
  const last = output.at(-1)
  if (first === undefined || last === undefined) return false
  return openings.includes(first) && closings.includes(last)
}

/**
 * Whether a succeeded job has one plausible output for each of its tasks. Without this check
 * a caller could receive a partial result with status 200.
 */
function hasAllOutputs(answer: JobAnswer): boolean {
  if (answer.outputs.length === 0 || answer.outputs.length !== answer.tasks) return false
  return answer.outputs.every(looksLikeJson)
}

/** Builds the response for a job: its outputs, its failure, or 202 while it runs. @internal */
export function answerReply(answer: JobAnswer): Reply {
  if (answer.state === JobState.RUNNING) return runningReply(answer)
  if (answer.state !== JobState.SUCCEEDED) return failureReply(answer)
  if (!hasAllOutputs(answer)) return defectReply()
  return successReply(answer)
}

/** Outputs are already JSON text, so they are concatenated into the body unparsed. */
function successReply(answer: JobAnswer): Reply {
  const { jobId, settingsVersion, settingsCurrent } = answer
  const state = stateName(answer.state)
  const head = JSON.stringify({ jobId, state, settingsVersion, settingsCurrent })
  const body = `${head.slice(0, -1)},"outputs":[${answer.outputs.join(',')}]}`
  return { status: OK, contentType: JSON_TYPE, body }
}

function runningReply(answer: JobAnswer): Reply {
  const { jobId, tasks, tasksEnded } = answer
  const body = { jobId, state: stateName(answer.state), tasks, tasksEnded }
  return jsonReply(ACCEPTED, body, { Location: `/v1/jobs/${jobId}` })
}

function failureReply(answer: JobAnswer): Reply {
  const { status } = reasonTable[answer.reason]
  const problem = jobProblem(answer)
  const mayRetry = problem.ran === ProblemRan.No && RETRYABLE.has(status)
  if (!mayRetry) return problemReply(problem)
  const waitMs = answer.retryAfterMs > 0 ? answer.retryAfterMs : DEFAULT_RETRY_AFTER_MS
  const withRetryAfter: JobProblem = { ...problem, retryAfter: retryAfterSeconds(waitMs) }
  return problemReply(withRetryAfter, retryAfterHeader(waitMs))
}

/** The problem document of a job that did not succeed. @internal */
export function jobProblem(answer: JobAnswer): JobProblem {
  const { status, title } = reasonTable[answer.reason]
  const name = reasonName(answer.reason)
  return {
    type: problemType(name),
    title,
    status,
    detail: answer.detail,
    ran: problemRan(answer),
    jobId: answer.jobId,
    state: stateName(answer.state),
    reason: name,
    settingsVersion: answer.settingsVersion,
    settingsCurrent: answer.settingsCurrent,
  }
}

/** Reports `no` only for an explicit `NOT_RUN`; with any other outcome the job may have run. */
function problemRan(answer: JobAnswer): ProblemRan {
  return answer.outcome === Outcome.NOT_RUN ? ProblemRan.No : ProblemRan.Unknown
}
