import { DispatchEventKind } from '../DispatchEvent'
import type { OrderAnswered } from '../DispatchEvent'
import type { SendOrder } from '../DispatchAction'
import type { OrderAnswer } from '../gateway/EndpointGateway'

/** Creates the dispatcher's event for the answer to one of its orders. @internal */
export function answerEvent({ order, sentAt }: SendOrder, answer: OrderAnswer): OrderAnswered {
  return { kind: DispatchEventKind.OrderAnswered, order, sentAt, answer }
}
