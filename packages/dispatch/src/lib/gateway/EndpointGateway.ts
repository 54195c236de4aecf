import type { EndpointAnswer, EndpointOrder } from '@cherryhitch/protocol'

/** What came of an order. @public */
export type OrderAnswer = Exclude<EndpointAnswer['answer'], { case: undefined }>

/** How endpoints are spoken to; the adapter of a platform gives the words. @public */
export abstract class EndpointGateway {
  /**
   * Carries an order out. It never fails: what went wrong is told by the answer.
   *
   * @param done - called once with the answer; a plain callback, since thousands of orders a second
   *   go this way
   */
  abstract call(order: EndpointOrder, done: (answer: OrderAnswer) => void): void
}
