import { ProblemRan } from '@cherryhitch/model'
import type { JsonResponse } from '../http/requestJson'
import type { OutputSeen } from '../ledger/CallerLedger'
import { CallerOutcome } from '../ledger/CallerLedger'

/** What a caller makes of an HTTP answer. @internal */
export interface AnswerReading {
  readonly outcome: CallerOutcome
  readonly status: number
  readonly jobId: string
  readonly detail: string
  readonly retryAfterMs: number
  readonly outputs: readonly OutputSeen[]
}

const OK = 200
const ACCEPTED = 202
const MS_PER_SECOND = 1000

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null
}

function textOf(value: unknown): string {
  return typeof value === 'string' ? value : ''
}

function readOutput(output: unknown): OutputSeen {
  if (!isObject(output)) return { token: '', taskId: '' }
  return { token: textOf(output.token), taskId: textOf(output.taskId) }
}

function problemOutcome(ran: unknown): CallerOutcome {
  if (ran === ProblemRan.No) return CallerOutcome.NotRun
  if (ran === ProblemRan.Unknown) return CallerOutcome.Unknown
  return CallerOutcome.Malformed
}

/** Reads an answer to a job, or to a question about it. @internal */
export function readAnswer(response: JsonResponse): AnswerReading {
  const body = isObject(response.body) ? response.body : {}
  const { status } = response
  const jobId = textOf(body.jobId)
  const detail = textOf(body.reason) || textOf(body.detail)
  const retryAfter = typeof body.retryAfter === 'number' ? body.retryAfter : 0
  const retryAfterMs = retryAfter * MS_PER_SECOND
  const base = { status, jobId, detail, retryAfterMs, outputs: [] }
  // A question that waited its time out: the job goes on.
  if (status === ACCEPTED) return { ...base, outcome: CallerOutcome.TimedOut }
  if (status !== OK) return { ...base, outcome: problemOutcome(body.ran) }
  if (!Array.isArray(body.outputs)) return { ...base, outcome: CallerOutcome.Malformed }
  return { ...base, outcome: CallerOutcome.Answered, outputs: body.outputs.map(readOutput) }
}
