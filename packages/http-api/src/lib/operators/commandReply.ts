import { ProblemRan, exhaustive } from '@cherryhitch/model'
import type { Problem } from '@cherryhitch/model'
import type { CommandAnswer } from '@cherryhitch/protocol'
import { CommandResult } from '@cherryhitch/protocol'
import type { Reply } from '../exchange/Reply'
import { jsonReply } from '../exchange/Reply'
import { problemReply, problemType, retryAfterHeader } from '../problems/problemReply'

const OK = 200
const CONFLICT = 409
const UNPROCESSABLE = 422
const UNAVAILABLE = 503
const GATEWAY_TIMEOUT = 504
const RETRY_AFTER_MS = 1000

/** Problem document of a change; `version` is the newest in the log. @internal */
interface CommandProblem extends Problem {
  readonly commandId: string
  readonly version: number
}

/** Builds the response to a proposed change. @internal */
export function commandReply(answer: CommandAnswer): Reply {
  switch (answer.result) {
    case CommandResult.APPLIED:
      return appliedReply(answer)
    case CommandResult.CONFLICT:
      return refusedReply(answer, CONFLICT, 'version-conflict', 'Another change came first.')
    case CommandResult.REJECTED:
      return refusedReply(answer, UNPROCESSABLE, 'change-rejected', 'The change is not allowed.')
    case CommandResult.UNAVAILABLE:
      return unavailableReply(answer)
    case CommandResult.UNKNOWN:
    case CommandResult.UNSPECIFIED:
      return unknownReply(answer)
    default:
      return exhaustive(answer.result)
  }
}

function appliedReply({ commandId, version, detail }: CommandAnswer): Reply {
  return jsonReply(OK, { commandId, result: 'applied', version, detail })
}

function refusedReply(answer: CommandAnswer, status: number, name: string, title: string): Reply {
  return problemReply(commandProblem(answer, { status, name, title, ran: ProblemRan.No }))
}

function unavailableReply(answer: CommandAnswer): Reply {
  const title = 'The voters can not be reached; nothing was changed.'
  const problem = commandProblem(answer, {
    status: UNAVAILABLE,
    name: 'no-quorum',
    title,
    ran: ProblemRan.No,
  })
  return problemReply(problem, retryAfterHeader(RETRY_AFTER_MS))
}

function unknownReply(answer: CommandAnswer): Reply {
  const advice =
    'It may still take force: send the same command id again to learn what became of it.'
  const detail = answer.detail === '' ? advice : `${answer.detail} ${advice}`
  const title = 'Whether the change was committed is not known.'
  const problem = commandProblem(answer, {
    status: GATEWAY_TIMEOUT,
    name: 'change-unknown',
    title,
    ran: ProblemRan.Unknown,
  })
  return problemReply({ ...problem, detail })
}

interface ProblemFields {
  readonly status: number
  readonly name: string
  readonly title: string
  readonly ran: ProblemRan
}

function commandProblem(answer: CommandAnswer, fields: ProblemFields): CommandProblem {
  const { commandId, version, detail } = answer
  const { status, name, title, ran } = fields
  return { type: problemType(name), title, status, detail, ran, commandId, version }
}
