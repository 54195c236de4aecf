import type { EndpointAnswer, EndpointOrder } from '@cherryhitch/protocol'

/** What came of an order. @public */
export type OrderAnswer = Exclude<EndpointAnswer['answer'], { case: undefined }>

/** How endpoints are spoken to; the adapter of a platform gives the words. @public */
export abstract class EndpointGateway {
  /**
   * Carries an order out. It never fails: what went wrong is told by the answer.
   *
   * @param done - called once with the answer. A plain callback: thousands of orders a second go
   *   this way, and a fiber for each took 16 % of the time of an instance that carries them
   */
  abstract call(order: EndpointOrder, done: (answer: OrderAnswer) => void): void
}
