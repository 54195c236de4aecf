import type { EnvelopeBody } from '../envelope'
import type { Envelope } from '../gen/cherryhitch/v1/link_pb'
import {
  decodeAnswer,
  encodeAnswer,
  decodeOrder,
  encodeOrder,
  decodeOutcome,
  encodeOutcome,
} from './rows'
import { PayloadTable, decodeSubmit, encodeSubmit } from './rows'
import type { AnswerRow, OrderRow, OutcomeRow, SubmitRow } from './rows'

/** Kind of message in a text. */
enum TextKind {
  Orders = 1,
  Answers = 2,
  Submit = 3,
  Outcome = 4,
}

type TextMessage =
  | [TextKind.Orders, payloads: string[], orders: OrderRow[], sentMs: number]
  | [TextKind.Answers, answers: AnswerRow[], forBoot: number]
  | [TextKind.Submit, SubmitRow]
  | [TextKind.Outcome, OutcomeRow]

/**
 * Encodes a message as JSON if it is one of those that are sent thousands of times a second. A
 * process that runs for about a minute executes most of its code before the JIT optimizes it. The
 * built-in JSON functions are fast from the start, while a reflection-based codec is not.
 *
 * @returns undefined for all other messages
 * @public
 */
export function encodeText(body: Envelope['body']): string | undefined {
  const message = toTextMessage(body)
  return message && JSON.stringify(message)
}

function toTextMessage(body: Envelope['body']): TextMessage | undefined {
  switch (body.case) {
    case 'endpointOrders': {
      const payloadTable = new PayloadTable()
      const rows = body.value.orders.flatMap((order) => {
        const row = encodeOrder(order, payloadTable)
        return row === undefined ? [] : [row]
      })
      return [TextKind.Orders, payloadTable.payloads, rows, body.value.sentMs]
    }
    case 'endpointAnswers': {
      const rows = body.value.answers.flatMap((answer) => {
        const row = encodeAnswer(answer)
        return row === undefined ? [] : [row]
      })
      return [TextKind.Answers, rows, body.value.forBoot]
    }
    case 'submitJob': {
      const row = encodeSubmit(body.value)
      return row && [TextKind.Submit, row]
    }
    case 'jobOutcome':
      return [TextKind.Outcome, encodeOutcome(body.value)]
    default:
      return undefined
  }
}

/**
 * Decodes a message that `encodeText` encoded.
 *
 * @throws SyntaxError if the text is not JSON, Error if its message kind is unknown
 * @public
 */
export function decodeText(text: string): EnvelopeBody {
  const message = JSON.parse(text) as TextMessage
  switch (message[0]) {
    case TextKind.Orders: {
      const [, payloads, rows, sentMs] = message
      const orders = rows.map((row) => decodeOrder(row, payloads))
      const value = { $typeName: 'cherryhitch.v1.EndpointOrders' as const, orders, sentMs }
      return { case: 'endpointOrders', value }
    }
    case TextKind.Answers: {
      const [, rows, forBoot] = message
      const answers = rows.map(decodeAnswer)
      const value = { $typeName: 'cherryhitch.v1.EndpointAnswers' as const, answers, forBoot }
      return { case: 'endpointAnswers', value }
    }
    case TextKind.Submit:
      return { case: 'submitJob', value: decodeSubmit(message[1]) }
    case TextKind.Outcome:
      return { case: 'jobOutcome', value: decodeOutcome(message[1]) }
    default:
      throw new Error('unknown kind of text message')
  }
}
