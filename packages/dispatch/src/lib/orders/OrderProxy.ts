import { makeEndpointAnswer, StartResult, wrapMessage } from '@cherryhitch/protocol'
import type { EndpointAnswer, EndpointOrder, EndpointOrders, Envelope } from '@cherryhitch/protocol'
import { GatherPace } from '@cherryhitch/runtime'
import type { EndpointGateway, OrderAnswer } from '../gateway/EndpointGateway'
import { noAnswer } from '../gateway/noAnswer'
import { ExtraDelay } from './ExtraDelay'

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

/**
 * Orders that come so much later than others are not carried out, in milliseconds: starts are void by then, and
 * the leader has given the others up. The endpoint that they are for may have started again meanwhile,
 * and its clock, which would tell, has begun anew.
 */
const MOST_DELAY_MS = 300

/** Answers on their way to one leader. */
interface Collected {
  /** Boot of the process that gave the orders. */
  readonly boot: number
  readonly delay: ExtraDelay
  readonly pace: GatherPace
  answers: EndpointAnswer[]
}

/**
 * Calls endpoints for the leader. It decides nothing: every order that comes in time is carried out,
 * and answers that come together go back in one message.
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
  onOrders(from: string, boot: number, { orders, sentMs }: EndpointOrders): void {
    const collected = this.#collectedFor(from, boot)
    const isLate = collected.delay.note(this.options.now(), sentMs) > MOST_DELAY_MS
    for (const order of orders) {
      const answer = (told: OrderAnswer): void => {
        this.#collect(from, collected, makeEndpointAnswer(order.id, told))
      }
      if (isLate) answer(notCarriedOut(order))
      else this.options.gateway.call(order, answer)
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
    const pace = new GatherPace(GATHER_MS)
    const collected = { boot, delay: new ExtraDelay(), pace, answers: [] }
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

function notCarriedOut(order: EndpointOrder): OrderAnswer {
  if (order.order.case === 'start') return { case: 'started', value: StartResult.NOT_SENT }
  return noAnswer(order, 'it came too late')
}
