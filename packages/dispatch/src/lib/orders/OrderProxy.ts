import { makeEndpointAnswer, wrapMessage } from '@cherryhitch/protocol'
import type { EndpointAnswer, EndpointOrder, Envelope } from '@cherryhitch/protocol'
import { Effect } from 'effect'
import type { EndpointGateway } from '../gateway/EndpointGateway'

/** @public */
export interface OrderProxyOptions {
  readonly gateway: EndpointGateway
  readonly send: (to: string, message: Envelope) => void
  /** Runs something a little later, so that answers which come together travel together. */
  readonly defer: (run: () => void) => void
}

/**
 * Calls endpoints for the leader. It decides nothing: every order that comes is carried out, and
 * answers that come together go back in one message.
 *
 * @public
 */
export class OrderProxy {
  readonly #answers = new Map<string, EndpointAnswer[]>()

  constructor(private readonly options: OrderProxyOptions) {}

  onOrders(from: string, orders: readonly EndpointOrder[]): void {
    for (const order of orders) this.#call(from, order)
  }

  #call(from: string, order: EndpointOrder): void {
    const called = Effect.map(this.options.gateway.call(order), (answer) => {
      this.#collect(from, makeEndpointAnswer(order.id, answer))
    })
    Effect.runFork(called)
  }

  #collect(to: string, answer: EndpointAnswer): void {
    const collected = this.#answers.get(to)
    if (collected !== undefined) {
      collected.push(answer)
      return
    }
    const answers = [answer]
    this.#answers.set(to, answers)
    this.options.defer(() => {
      this.#answers.delete(to)
      const value = { $typeName: 'cherryhitch.v1.EndpointAnswers' as const, answers }
      this.options.send(to, wrapMessage({ case: 'endpointAnswers', value }))
    })
  }
}
