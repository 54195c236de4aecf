import { exhaustive } from '@cherryhitch/model'
import type { EndpointAnswer, EndpointOrder } from '@cherryhitch/protocol'
import { Machine } from '@cherryhitch/runtime'
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
   * Up to this many endpoints the leader calls them itself, which saves a hop each way; the calls to
   * more of them would leave it no time to decide.
   */
  readonly directEndpoints: number
  /**
   * What the way to a proxy and back adds to the timeout of an order, in milliseconds: some 50 round
   * trips. A leader whose core is full would take its proxies for silent, and begin anew what they do.
   */
  readonly wayMs: number
  /** A proxy that didn't answer gets no order for this long; a restart takes about as long. */
  readonly distrustMs: number
}

/** @public */
export const defaultRouterOptions: RouterOptions = {
  boot: 0,
  directEndpoints: 60,
  wayMs: 150,
  distrustMs: 1_000,
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
  /** Which instances are there to be proxies, and how many endpoints there are. */
  | {
      readonly kind: RouterEventKind.Proxies
      readonly proxies: readonly ProxyInstance[]
      readonly endpoints: number
    }

/** @public */
export enum RouterActionKind {
  Call = 'call',
  Forward = 'forward',
  Tell = 'tell',
  Log = 'log',
}

/** @public */
export type RouterAction =
  /** This instance calls the endpoint itself. */
  | { readonly kind: RouterActionKind.Call; readonly send: SendOrder }
  | {
      readonly kind: RouterActionKind.Forward
      readonly to: string
      readonly orders: readonly EndpointOrder[]
    }
  | { readonly kind: RouterActionKind.Tell; readonly event: OrderAnswered }
  | {
      readonly kind: RouterActionKind.Log
      readonly sentence: string
      readonly fields: Readonly<Record<string, unknown>>
    }

/** An order that a proxy has. */
interface Pending {
  readonly send: SendOrder
  readonly proxy: string
  readonly dueAt: number
}

/** How often unanswered orders are looked for, in milliseconds. */
const CHECK_MS = 10
/** A pause this long between two looks means that this instance stood still, in milliseconds. */
const STALL_MS = 100

/**
 * Brings the orders of the leader to endpoints: by itself, or where there are many of them,
 * through other instances. These only carry orders: each is valid under the leader's fencing
 * token, and for a time by the endpoint's clock, so that a slow or lost proxy can do no harm.
 *
 * Orders are collected until the next tick, and those for one proxy go in one message.
 *
 * @public
 */
export class OrderRouter extends Machine<RouterEvent, RouterAction> {
  readonly #options: RouterOptions
  readonly #assignments = new ProxyAssignments()
  readonly #pending = new Map<number, Pending>()
  /** Orders for the next message to each proxy. */
  readonly #collected = new Map<string, EndpointOrder[]>()
  /** When each proxy last answered. */
  readonly #heardAt = new Map<string, number>()
  readonly #distrustedUntil = new Map<string, number>()
  #proxies: readonly ProxyInstance[] = []
  #endpoints = 0
  #checkedAt = -Infinity
  /** After a standstill, answers that are there already are taken in first. */
  #excusedUntil = -Infinity
  #out: RouterAction[] = []

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
        this.#heardAt.set(event.from, now)
        // An earlier process of this instance numbered its orders alike.
        if (event.forBoot !== this.#options.boot) break
        for (const answer of event.answers) this.#onAnswer(answer)
        break
      case RouterEventKind.Proxies:
        this.#proxies = event.proxies
        this.#endpoints = event.endpoints
        this.#useTrusted(now)
        break
      default:
        exhaustive(event)
    }
    return this.#takeActions()
  }

  override tick(now: number): readonly RouterAction[] {
    if (now >= this.#checkedAt + CHECK_MS) {
      if (now > this.#checkedAt + STALL_MS) this.#excusedUntil = now + STALL_MS
      this.#checkedAt = now
      if (now >= this.#excusedUntil) this.#checkPending(now)
      this.#assignments.forgetUnused(now)
    }
    for (const [to, orders] of this.#collected) {
      this.#out.push({ kind: RouterActionKind.Forward, to, orders })
    }
    this.#collected.clear()
    return this.#takeActions()
  }

  #takeActions(): readonly RouterAction[] {
    const actions = this.#out
    this.#out = []
    return actions
  }

  #route(now: number, send: SendOrder): void {
    const { order, zone } = send
    const proxy = this.usesProxies
      ? this.#assignments.proxyOf(now, order.endpoint, zone)
      : undefined
    if (proxy === undefined) {
      this.#out.push({ kind: RouterActionKind.Call, send })
      return
    }
    const dueAt = now + order.timeoutMs + this.#options.wayMs
    this.#pending.set(order.id, { send, proxy, dueAt })
    const collected = this.#collected.get(proxy)
    if (collected === undefined) this.#collected.set(proxy, [order])
    else collected.push(order)
  }

  /** True while there are more endpoints than the leader calls itself. */
  get usesProxies(): boolean {
    return this.#endpoints > this.#options.directEndpoints && this.#assignments.hasProxies
  }

  #onAnswer({ id, answer }: EndpointAnswer): void {
    const pending = this.#pending.get(id)
    if (pending === undefined || answer.case === undefined) return
    this.#pending.delete(id)
    this.#out.push({ kind: RouterActionKind.Tell, event: answerEvent(pending.send, answer) })
  }

  #checkPending(now: number): void {
    for (const [id, { send, proxy, dueAt }] of this.#pending) {
      if (now < dueAt) continue
      this.#giveUp(id, send, `its proxy ${proxy} gave no answer`)
      // One that answers others has dropped this order, after a restart perhaps.
      const hasAnswered = (this.#heardAt.get(proxy) ?? -Infinity) > send.sentAt
      if (!hasAnswered) this.#distrust(now, proxy)
    }
  }

  /** A silent proxy: all of its endpoints are called by others at once. */
  #distrust(now: number, proxy: string): void {
    if ((this.#distrustedUntil.get(proxy) ?? -Infinity) > now) return
    this.#distrustedUntil.set(proxy, now + this.#options.distrustMs)
    this.#useTrusted(now)
    const lost = [...this.#pending].filter(([, pending]) => pending.proxy === proxy)
    for (const [id, { send }] of lost) this.#giveUp(id, send, `its proxy ${proxy} is silent`)
    this.#collected.delete(proxy)
    const fields = { proxy, heardAt: this.#heardAt.get(proxy), orders: lost.length + 1 }
    this.#out.push({ kind: RouterActionKind.Log, sentence: 'a proxy is silent', fields })
  }

  #giveUp(id: number, send: SendOrder, detail: string): void {
    this.#pending.delete(id)
    const event = answerEvent(send, noAnswer(send.order, detail))
    this.#out.push({ kind: RouterActionKind.Tell, event })
  }

  #useTrusted(now: number): void {
    const isTrusted = ({ instance }: ProxyInstance): boolean => {
      return now >= (this.#distrustedUntil.get(instance) ?? -Infinity)
    }
    this.#assignments.setProxies(this.#proxies.filter(isTrusted))
  }
}
