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
import { reasonTable, reasonWord } from '../problems/reasonTable'

const OK = 200
const ACCEPTED = 202
/** Statuses with which coming back later can help. */
const RETRYABLE: ReadonlySet<number> = new Set([429, 503])
/** Advice when the refusing part gave none. */
const DEFAULT_RETRY_AFTER_MS = 1000

/** Problem document of a job. @internal */
export interface JobProblem extends Problem {
  readonly jobId: string
  readonly state: string
  readonly reason: string
  readonly settingsVersion: number
  readonly settingsCurrent: boolean
}

/** The word of a state in answers, such as `succeeded`. @internal */
export function stateWord(state: JobState): string {
  return JobState[state].toLowerCase()
}

/** First and last characters of JSON texts. */
const openings = '{["-0123456789tfn'
const closings = '}]"0123456789el'

/**
 * A cheap look at both ends of an output. That outputs are JSON is the owners' business: they
 * write them with `JSON.stringify`. Parsing them here again would cost a tenth of the request
 * (`docs/design/http-interfaces.md`); this finds empty texts and other formats.
 */
function looksLikeJson(output: string): boolean {
  const first = output.at(0)
  const last = output.at(-1)
  if (first === undefined || last === undefined) return false
  return openings.includes(first) && closings.includes(last)
}

/**
 * Whether the answer is one that may be given: outputs for every task of a job that
 * succeeded. Anything else would be a partial answer.
 */
function isWhole(answer: JobAnswer): boolean {
  if (answer.outputs.length === 0 || answer.outputs.length !== answer.tasks) return false
  return answer.outputs.every(looksLikeJson)
}

/** The reply that tells how a job ended, or that it has not. @internal */
export function answerReply(answer: JobAnswer): Reply {
  if (answer.state === JobState.RUNNING) return runningReply(answer)
  if (answer.state !== JobState.SUCCEEDED) return failureReply(answer)
  if (!isWhole(answer)) return defectReply()
  return successReply(answer)
}

/** The outputs are JSON text already; they are joined into the body as they came. */
function successReply(answer: JobAnswer): Reply {
  const { jobId, settingsVersion, settingsCurrent } = answer
  const state = stateWord(answer.state)
  const head = JSON.stringify({ jobId, state, settingsVersion, settingsCurrent })
  const body = `${head.slice(0, -1)},"outputs":[${answer.outputs.join(',')}]}`
  return { status: OK, contentType: JSON_TYPE, body }
}

function runningReply(answer: JobAnswer): Reply {
  const { jobId, tasks, tasksEnded } = answer
  const body = { jobId, state: stateWord(answer.state), tasks, tasksEnded }
  return jsonReply(ACCEPTED, body, { Location: `/v1/jobs/${jobId}` })
}

function failureReply(answer: JobAnswer): Reply {
  const { status } = reasonTable[answer.reason]
  const problem = jobProblem(answer)
  const advised = problem.ran === ProblemRan.No && RETRYABLE.has(status)
  if (!advised) return problemReply(problem)
  const waitMs = answer.retryAfterMs > 0 ? answer.retryAfterMs : DEFAULT_RETRY_AFTER_MS
  const withAdvice: JobProblem = { ...problem, retryAfter: retryAfterSeconds(waitMs) }
  return problemReply(withAdvice, retryAfterHeader(waitMs))
}

/** The problem document of a job that did not succeed. @internal */
export function jobProblem(answer: JobAnswer): JobProblem {
  const { status, title } = reasonTable[answer.reason]
  const word = reasonWord(answer.reason)
  return {
    type: problemType(word),
    title,
    status,
    detail: answer.detail,
    ran: ranOf(answer),
    jobId: answer.jobId,
    state: stateWord(answer.state),
    reason: word,
    settingsVersion: answer.settingsVersion,
    settingsCurrent: answer.settingsCurrent,
  }
}

/** `no` is claimed only where the answer says so; all else may have run. */
function ranOf(answer: JobAnswer): ProblemRan {
  return answer.outcome === Outcome.NOT_RUN ? ProblemRan.No : ProblemRan.Unknown
}
