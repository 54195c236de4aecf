import { exhaustive } from '@cherryhitch/model'
import type { EndpointAnswer, EndpointOrder } from '@cherryhitch/protocol'
import { StateMachine } from '@cherryhitch/runtime'
import type { SendOrder } from '../DispatchAction'
import type { OrderAnswered } from '../DispatchEvent'
import { noAnswer } from '../gateway/noAnswer'
import { answerEvent } from './answerEvent'
import { ProxyAssignments } from './ProxyAssignments'
import type { ProxyInstance } from './ProxyAssignments'

/** @public */
export interface RouterOptions {
  /** Boot of this process. */
  readonly boot: number
  /**
   * Maximum number of endpoints that the leader calls directly, which saves a hop each way. Calls
   * to more endpoints would leave it too little time for scheduling.
   */
  readonly directEndpoints: number
  /**
   * Added to the timeout of an order that goes through a proxy, in milliseconds: about 50 round
   * trips. With less, a leader whose processor core is saturated would consider its proxies silent,
   * and repeat their work.
   */
  readonly proxyAllowanceMs: number
  /**
   * A proxy that did not answer gets no orders for this long, in milliseconds: about the duration
   * of a restart.
   */
  readonly proxySuspensionMs: number
}

/** @public */
export const defaultRouterOptions: RouterOptions = {
  boot: 0,
  directEndpoints: 60,
  proxyAllowanceMs: 150,
  proxySuspensionMs: 1_000,
}

/** @public */
export enum RouterEventKind {
  Order = 'order',
  Answers = 'answers',
  Proxies = 'proxies',
}

/** @public */
export type RouterEvent =
  | { readonly kind: RouterEventKind.Order; readonly send: SendOrder }
  | {
      readonly kind: RouterEventKind.Answers
      readonly from: string
      /** Boot of the process whose orders these are the answers to. */
      readonly forBoot: number
      readonly answers: readonly EndpointAnswer[]
    }
  /** The instances that can act as proxies, and the number of endpoints. */
  | {
      readonly kind: RouterEventKind.Proxies
      readonly proxies: readonly ProxyInstance[]
      readonly endpoints: number
    }

/** @public */
export enum RouterActionKind {
  Call = 'call',
  Forward = 'forward',
  DeliverAnswer = 'tell',
  Log = 'log',
}

/** @public */
export type RouterAction =
  /** Call the endpoint directly from this instance. */
  | { readonly kind: RouterActionKind.Call; readonly send: SendOrder }
  /** Send orders to a proxy. */
  | {
      readonly kind: RouterActionKind.Forward
      readonly to: string
      readonly orders: readonly EndpointOrder[]
    }
  /** Pass the result of an order to the dispatcher. */
  | { readonly kind: RouterActionKind.DeliverAnswer; readonly event: OrderAnswered }
  | {
      readonly kind: RouterActionKind.Log
      readonly message: string
      readonly fields: Readonly<Record<string, unknown>>
    }

/** An order that a proxy has not answered. */
interface PendingOrder {
  readonly send: SendOrder
  readonly proxy: string
  /** When the order times out. */
  readonly dueAt: number
}

/** Interval between checks for unanswered orders, in milliseconds. */
const CHECK_INTERVAL_MS = 10
/** A longer gap between two checks means that this instance was stalled, in milliseconds. */
const STALL_MS = 100

/**
 * Routes the orders of the leader to endpoints: directly, or through other instances as proxies if
 * there are many endpoints. Proxies only forward orders. Each order carries the leader's fencing
 * token and expires by the endpoint's clock, so a slow or lost proxy does no harm.
 *
 * Orders are batched until the next tick, with one message for each proxy.
 *
 * @public
 */
export class OrderRouter extends StateMachine<RouterEvent, RouterAction> {
  readonly #options: RouterOptions
  readonly #assignments = new ProxyAssignments()
  readonly #pending = new Map<number, PendingOrder>()
  /** Orders for the next message to each proxy. */
  readonly #batches = new Map<string, EndpointOrder[]>()
  /** When each proxy last answered. */
  readonly #lastAnswerAt = new Map<string, number>()
  readonly #suspendedUntil = new Map<string, number>()
  #proxies: readonly ProxyInstance[] = []
  #endpoints = 0
  #checkedAt = -Infinity
  /** After a stall no order times out before this, so that answers already received come first. */
  #timeoutsPausedUntil = -Infinity
  #actions: RouterAction[] = []

  constructor(options: Partial<RouterOptions> = {}) {
    super()
    this.#options = { ...defaultRouterOptions, ...options }
  }

  override step(now: number, event: RouterEvent): readonly RouterAction[] {
    switch (event.kind) {
      case RouterEventKind.Order:
        this.#route(now, event.send)
        return []
      case RouterEventKind.Answers:
        this.#lastAnswerAt.set(event.from, now)
        // An earlier process of this instance used the same order numbers.
        if (event.forBoot !== this.#options.boot) break
        for (const answer of event.answers) this.#onAnswer(answer)
        break
      case RouterEventKind.Proxies:
        this.#proxies = event.proxies
        this.#endpoints = event.endpoints
        this.#updateAssignments(now)
        break
      default:
        exhaustive(event)
    }
    return this.#takeActions()
  }

  override tick(now: number): readonly RouterAction[] {
    if (now >= this.#checkedAt + CHECK_INTERVAL_MS) {
      if (now > this.#checkedAt + STALL_MS) this.#timeoutsPausedUntil = now + STALL_MS
      this.#checkedAt = now
      if (now >= this.#timeoutsPausedUntil) this.#checkPending(now)
      this.#assignments.evictUnused(now)
    }
    for (const [to, orders] of this.#batches) {
      this.#actions.push({ kind: RouterActionKind.Forward, to, orders })
    }
    this.#batches.clear()
    return this.#takeActions()
  }

  #takeActions(): readonly RouterAction[] {
    const actions = this.#actions
    this.#actions = []
    return actions
  }

  #route(now: number, send: SendOrder): void {
    const { order, zone } = send
    const proxy = this.usesProxies
      ? this.#assignments.proxyFor(now, order.endpoint, zone)
      : undefined
    if (proxy === undefined) {
      this.#actions.push({ kind: RouterActionKind.Call, send })
      return
    }
    const dueAt = now + order.timeoutMs + this.#options.proxyAllowanceMs
    this.#pending.set(order.id, { send, proxy, dueAt })
    const batch = this.#batches.get(proxy)
    if (batch === undefined) this.#batches.set(proxy, [order])
    else batch.push(order)
  }

  /** True while there are proxies and more endpoints than the leader calls directly. */
  get usesProxies(): boolean {
    return this.#endpoints > this.#options.directEndpoints && this.#assignments.hasProxies
  }

  #onAnswer({ id, answer }: EndpointAnswer): void {
    const pending = this.#pending.get(id)
    if (pending === undefined || answer.case === undefined) return
    this.#pending.delete(id)
    this.#actions.push({
      kind: RouterActionKind.DeliverAnswer,
      event: answerEvent(pending.send, answer),
    })
  }

  #checkPending(now: number): void {
    for (const [id, { send, proxy, dueAt }] of this.#pending) {
      if (now < dueAt) continue
      this.#failOrder(id, send, `no answer from proxy ${proxy}`)
      // A proxy that has answered other orders since has lost this one, for example in a restart.
      const hasAnswered = (this.#lastAnswerAt.get(proxy) ?? -Infinity) > send.sentAt
      if (!hasAnswered) this.#suspend(now, proxy)
    }
  }

  /**
   * Suspends a proxy that did not answer: its pending orders fail, and other proxies take over its
   * endpoints.
   */
  #suspend(now: number, proxy: string): void {
    if ((this.#suspendedUntil.get(proxy) ?? -Infinity) > now) return
    this.#suspendedUntil.set(proxy, now + this.#options.proxySuspensionMs)
    this.#updateAssignments(now)
    const lost = [...this.#pending].filter(([, pending]) => pending.proxy === proxy)
    for (const [id, { send }] of lost) this.#failOrder(id, send, `proxy ${proxy} does not answer`)
    this.#batches.delete(proxy)
    const fields = { proxy, heardAt: this.#lastAnswerAt.get(proxy), orders: lost.length + 1 }
    this.#actions.push({
      kind: RouterActionKind.Log,
      message: 'proxy does not answer, so it is suspended',
      fields,
    })
  }

  #failOrder(id: number, send: SendOrder, detail: string): void {
    this.#pending.delete(id)
    const event = answerEvent(send, noAnswer(send.order, detail))
    this.#actions.push({ kind: RouterActionKind.DeliverAnswer, event })
  }

  #updateAssignments(now: number): void {
    const isAvailable = ({ instance }: ProxyInstance): boolean => {
      return now >= (this.#suspendedUntil.get(instance) ?? -Infinity)
    }
    this.#assignments.setProxies(this.#proxies.filter(isAvailable))
  }
}
