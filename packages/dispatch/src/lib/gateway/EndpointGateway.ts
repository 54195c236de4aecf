import type { EndpointAnswer, EndpointOrder } from '@cherryhitch/protocol'
import type { Effect } from 'effect'

/** What came of an order. @public */
export type OrderAnswer = Exclude<EndpointAnswer['answer'], { case: undefined }>

/** How endpoints are spoken to; the adapter of a platform gives the words. @public */
export abstract class EndpointGateway {
  /** Carries an order out. It never fails: what went wrong is told by the answer. */
  abstract call(order: EndpointOrder): Effect.Effect<OrderAnswer>
}
