import { DispatchEventKind } from '../DispatchEvent'
import type { OrderAnswered } from '../DispatchEvent'
import type { SendOrder } from '../DispatchAction'
import type { OrderAnswer } from '../gateway/EndpointGateway'

/** What the dispatcher is told of an order that it sent. @internal */
export function answerEvent({ order, sentAt }: SendOrder, answer: OrderAnswer): OrderAnswered {
  return { kind: DispatchEventKind.Answered, order, sentAt, answer }
}
