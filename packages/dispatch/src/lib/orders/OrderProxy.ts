import { makeEndpointAnswer, wrapMessage } from '@cherryhitch/protocol'
import type { EndpointAnswer, EndpointOrder, Envelope } from '@cherryhitch/protocol'
import { GatherPace } from '@cherryhitch/runtime'
import type { EndpointGateway } from '../gateway/EndpointGateway'

/** @public */
export interface OrderProxyOptions {
  readonly gateway: EndpointGateway
  readonly send: (to: string, message: Envelope) => void
  readonly now: () => number
  /** Runs something after so many milliseconds; after 0, once all that has arrived is read. */
  readonly after: (ms: number, run: () => void) => void
}

/**
 * Answers for one leader that come within this travel together, in milliseconds: each frame passes
 * several layers of streams at both ends.
 */
const GATHER_MS = 6

/** Answers on their way to one leader. */
interface Collected {
  /** Boot of the process that gave the orders. */
  readonly boot: number
  readonly pace: GatherPace
  answers: EndpointAnswer[]
}

/**
 * Calls endpoints for the leader. It decides nothing: every order that comes is carried out, and
 * answers that come together go back in one message.
 *
 * @public
 */
export class OrderProxy {
  /** By leader; there are as many as instances that may lead. */
  readonly #collected = new Map<string, Collected>()

  constructor(private readonly options: OrderProxyOptions) {}

  /**
   * Carries orders out.
   *
   * @param boot - that of the leader's process that gave them; their numbers are unique within it
   */
  onOrders(from: string, boot: number, orders: readonly EndpointOrder[]): void {
    const collected = this.#collectedFor(from, boot)
    for (const order of orders) {
      this.options.gateway.call(order, (answer) => {
        this.#collect(from, collected, makeEndpointAnswer(order.id, answer))
      })
    }
  }

  #collect(to: string, collected: Collected, answer: EndpointAnswer): void {
    const { now, after } = this.options
    collected.answers.push(answer)
    const waitMs = collected.pace.note(now())
    if (waitMs === undefined) return
    after(waitMs, () => {
      collected.pace.noteSent(now())
      this.#send(to, collected)
    })
  }

  #collectedFor(to: string, boot: number): Collected {
    const known = this.#collected.get(to)
    if (known?.boot === boot) return known
    const collected = { boot, pace: new GatherPace(GATHER_MS), answers: [] }
    this.#collected.set(to, collected)
    return collected
  }

  #send(to: string, collected: Collected): void {
    const { answers, boot: forBoot } = collected
    collected.answers = []
    const value = { $typeName: 'cherryhitch.v1.EndpointAnswers' as const, answers, forBoot }
    this.options.send(to, wrapMessage({ case: 'endpointAnswers', value }))
  }
}
