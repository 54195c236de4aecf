import type { EndpointAnswer, EndpointOrder } from '@cherryhitch/protocol'

/** The result of an order. @public */
export type OrderAnswer = Exclude<EndpointAnswer['answer'], { case: undefined }>

/** Sends orders to endpoints; implemented by the adapter of a platform. @public */
export abstract class EndpointGateway {
  /**
   * Sends an order. It never throws: failures are reported in the answer.
   *
   * @param done - called once with the answer; a plain callback because of the rate of thousands of
   *   orders per second
   */
  abstract call(order: EndpointOrder, done: (answer: OrderAnswer) => void): void
}
