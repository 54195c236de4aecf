import { makeEndpointAnswer, StartResult, wrapMessage } from '@cherryhitch/protocol'
import type { EndpointAnswer, EndpointOrder, EndpointOrders, Envelope } from '@cherryhitch/protocol'
import { BatchPacer } from '@cherryhitch/runtime'
import type { EndpointGateway, OrderAnswer } from '../gateway/EndpointGateway'
import { noAnswer } from '../gateway/noAnswer'
import { ExtraDelay } from './ExtraDelay'

/** @public */
export interface OrderProxyOptions {
  readonly gateway: EndpointGateway
  readonly send: (to: string, message: Envelope) => void
  readonly now: () => number
  /**
   * Runs a callback after a delay in milliseconds. With a delay of 0 it runs once all messages that
   * have arrived are read.
   */
  readonly after: (ms: number, run: () => void) => void
}

/**
 * Answers to one leader within this window go into one message, in milliseconds. Each frame passes
 * through several stream layers at both ends, so fewer frames save processor time.
 */
const BATCH_WINDOW_MS = 6

/**
 * Orders with a higher extra delay are not carried out, in milliseconds. Start orders have expired
 * by then, and the leader has given up the others. The endpoint can't be relied on to reject them:
 * it may have restarted in the meantime, which resets the clock that it checks expiry with.
 */
const MAX_ORDER_DELAY_MS = 300

/** State kept for one process of a leader. */
interface LeaderState {
  /** Boot of the process that gave the orders. */
  readonly boot: number
  readonly delay: ExtraDelay
  readonly pace: BatchPacer
  answers: EndpointAnswer[]
}

/**
 * Calls endpoints on behalf of the leader. It makes no decisions: it carries out every order that
 * is not late, and batches the answers.
 *
 * @public
 */
export class OrderProxy {
  /** By instance name of the leader, so no more entries than instances that may lead. */
  readonly #leaders = new Map<string, LeaderState>()

  constructor(private readonly options: OrderProxyOptions) {}

  /**
   * Carries out the orders of a message.
   *
   * @param boot - boot of the leader's process; order numbers are unique within it
   */
  onOrders(from: string, boot: number, { orders, sentMs }: EndpointOrders): void {
    const state = this.#stateOf(from, boot)
    const isLate = state.delay.record(this.options.now(), sentMs) > MAX_ORDER_DELAY_MS
    for (const order of orders) {
      const done = (answer: OrderAnswer): void => {
        this.#enqueueAnswer(from, state, makeEndpointAnswer(order.id, answer))
      }
      if (isLate) done(lateOrderAnswer(order))
      else this.options.gateway.call(order, done)
    }
  }

  #enqueueAnswer(to: string, state: LeaderState, answer: EndpointAnswer): void {
    const { now, after } = this.options
    state.answers.push(answer)
    const waitMs = state.pace.requestSend(now())
    if (waitMs === undefined) return
    after(waitMs, () => {
      state.pace.recordSend(now())
      this.#send(to, state)
    })
  }

  #stateOf(to: string, boot: number): LeaderState {
    const known = this.#leaders.get(to)
    if (known?.boot === boot) return known
    const pace = new BatchPacer(BATCH_WINDOW_MS)
    const state = { boot, delay: new ExtraDelay(), pace, answers: [] }
    this.#leaders.set(to, state)
    return state
  }

  #send(to: string, state: LeaderState): void {
    const { answers, boot: forBoot } = state
    state.answers = []
    const value = { $typeName: 'cherryhitch.v1.EndpointAnswers' as const, answers, forBoot }
    this.options.send(to, wrapMessage({ case: 'endpointAnswers', value }))
  }
}

function lateOrderAnswer(order: EndpointOrder): OrderAnswer {
  if (order.order.case === 'start') return { case: 'started', value: StartResult.NOT_SENT }
  return noAnswer(order, 'it came too late')
}
