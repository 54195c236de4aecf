import { ProblemRan } from '@cherryhitch/model'
import type { RunResult } from '../endpointResults'
import { RunResultKind } from '../endpointResults'
import type { HttpFailure, HttpReply } from '@cherryhitch/http-client'
import { readJsonObject } from './readJson'

const OK = 200
const GONE = 410
const TOO_MANY_REQUESTS = 429
const SERVER_ERROR = 500

/** The result in a reply to `PUT /v1/tasks/{id}`; `foreign` if it names another task. @internal */
export type RunReply = { readonly foreign: true } | { readonly foreign: false; result: RunResult }

/** Reads the result of a task from an endpoint's reply. @internal */
export function readRunReply(taskId: string, reply: HttpReply): RunReply {
  const parsed = readJsonObject(reply.body)
  const body = parsed.ok ? parsed.val : {}
  if (typeof body.taskId === 'string' && body.taskId !== taskId) return { foreign: true }
  if (reply.status !== OK) return { foreign: false, result: readProblem(reply.status, body) }
  // The task ran, so an unreadable answer counts as a failure of the task.
  if (reply.oversized) return failedReply('The answer is longer than the limit.')
  if (!parsed.ok) return failedReply(parsed.val)
  if (body.output === undefined) return failedReply('The answer has no output.')
  const runMs = typeof body.runMs === 'number' && body.runMs >= 0 ? body.runMs : 0
  const output = JSON.stringify(body.output)
  const kind = RunResultKind.Succeeded
  return { foreign: false, result: { kind, output, detail: '', runMs, answered: true } }
}

/** The result of a run request that got no answer. @internal */
export function readRunFailure(failure: HttpFailure): RunResult {
  const kind = failure.mayHaveArrived ? RunResultKind.Lost : RunResultKind.NotRun
  return { kind, output: '', detail: failure.detail, runMs: 0, answered: false }
}

function failedReply(detail: string): RunReply {
  const kind = RunResultKind.Failed
  return { foreign: false, result: { kind, output: '', detail, runMs: 0, answered: true } }
}

function readProblem(status: number, problem: Readonly<Record<string, unknown>>): RunResult {
  const text = typeof problem.detail === 'string' ? problem.detail : problem.title
  const detail = typeof text === 'string' ? text : `The endpoint answered ${status}.`
  const runMs = typeof problem.runMs === 'number' ? problem.runMs : 0
  return { kind: classifyProblem(status, problem.ran), output: '', detail, runMs, answered: true }
}

/** The field `ran` decides; without it, only statuses with an unambiguous meaning do. */
function classifyProblem(status: number, ran: unknown): RunResultKind {
  if (ran === ProblemRan.No) return RunResultKind.NotRun
  if (ran === ProblemRan.Yes) return RunResultKind.Failed
  if (ran === ProblemRan.Unknown || status === GONE) return RunResultKind.Unknown
  if (status === TOO_MANY_REQUESTS) return RunResultKind.NotRun
  return status === SERVER_ERROR ? RunResultKind.Failed : RunResultKind.Unknown
}
