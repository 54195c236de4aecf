import type { EnvelopeBody } from '../envelope'
import type { Envelope } from '../gen/cherryhitch/v1/link_pb'
import { answerOf, answerRow, orderOf, orderRow, outcomeOf, outcomeRow } from './rows'
import { PayloadList, submitOf, submitRow } from './rows'
import type { AnswerRow, OrderRow, OutcomeRow, SubmitRow } from './rows'

/** Which message a text is. */
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
 * Writes one of the messages that are sent thousands of times a second as JSON. A process of a
 * minute's life runs most of its code before it is optimised; the runtime's own JSON is fast from
 * the start, while a codec by reflection is not.
 *
 * @returns undefined for all other messages
 * @public
 */
export function encodeText(body: Envelope['body']): string | undefined {
  const message = textMessage(body)
  return message && JSON.stringify(message)
}

function textMessage(body: Envelope['body']): TextMessage | undefined {
  switch (body.case) {
    case 'endpointOrders': {
      const payloads = new PayloadList()
      const rows = body.value.orders.flatMap((order) => {
        const row = orderRow(order, payloads)
        return row === undefined ? [] : [row]
      })
      return [TextKind.Orders, payloads.all, rows, body.value.sentMs]
    }
    case 'endpointAnswers': {
      const rows = body.value.answers.flatMap((answer) => {
        const row = answerRow(answer)
        return row === undefined ? [] : [row]
      })
      return [TextKind.Answers, rows, body.value.forBoot]
    }
    case 'submitJob': {
      const row = submitRow(body.value)
      return row && [TextKind.Submit, row]
    }
    case 'jobOutcome':
      return [TextKind.Outcome, outcomeRow(body.value)]
    default:
      return undefined
  }
}

/**
 * Reads what `encodeText` wrote.
 *
 * @throws SyntaxError when the text is no JSON, Error when it is of no known kind
 * @public
 */
export function decodeText(text: string): EnvelopeBody {
  const message = JSON.parse(text) as TextMessage
  switch (message[0]) {
    case TextKind.Orders: {
      const [, payloads, rows, sentMs] = message
      const orders = rows.map((row) => orderOf(row, payloads))
      const value = { $typeName: 'cherryhitch.v1.EndpointOrders' as const, orders, sentMs }
      return { case: 'endpointOrders', value }
    }
    case TextKind.Answers: {
      const [, rows, forBoot] = message
      const answers = rows.map(answerOf)
      const value = { $typeName: 'cherryhitch.v1.EndpointAnswers' as const, answers, forBoot }
      return { case: 'endpointAnswers', value }
    }
    case TextKind.Submit:
      return { case: 'submitJob', value: submitOf(message[1]) }
    case TextKind.Outcome:
      return { case: 'jobOutcome', value: outcomeOf(message[1]) }
    default:
      throw new Error('a text of no known kind')
  }
}
