import { create } from '@bufbuild/protobuf'
import { EndpointAnswerSchema } from '@cherryhitch/protocol'
import type { EndpointOrder } from '@cherryhitch/protocol'
import type { SendOrder } from '../DispatchAction'
import type { DispatchEvent } from '../DispatchEvent'
import { answerEvent } from '../orders/answerEvent'
import { OrderRouter, RouterActionKind, RouterEventKind } from '../orders/OrderRouter'
import type { RouterAction } from '../orders/OrderRouter'
import { WAY_MS } from './OrderCarrier'
import type { OrderCarrier } from './OrderCarrier'

/** @internal */
export interface ProxyWorldOptions {
  readonly leaders: number
  readonly proxies: number
  readonly orders: OrderCarrier
  readonly now: () => number
  readonly after: (ms: number, run: () => void) => void
  readonly tell: (leader: number, event: DispatchEvent) => void
}

/** The ways between leaders and endpoints: straight, or over proxies that may fall silent. @internal */
export class ProxyWorld {
  private readonly routers: OrderRouter[]
  private readonly silentUntil = new Map<string, number>()

  constructor(private readonly options: ProxyWorldOptions) {
    const routing = { directEndpoints: 0 }
    this.routers = Array.from({ length: options.leaders }, () => new OrderRouter(routing))
  }

  silence(proxy: number, forMs: number): void {
    this.silentUntil.set(`p${proxy}`, this.options.now() + forMs)
  }

  order(leader: number, send: SendOrder): void {
    this.step(leader, (router, now) => router.step(now, { kind: RouterEventKind.Order, send }))
  }

  flush(leader: number): void {
    this.step(leader, (router, now) => router.tick(now))
  }

  tick(leader: number, endpoints: number): void {
    const proxies = Array.from({ length: this.options.proxies }, (_, i) => {
      return { instance: `p${i}`, zone: '' }
    })
    const event = { kind: RouterEventKind.Proxies, proxies, endpoints } as const
    this.step(leader, (router, now) => router.step(now, event))
    this.flush(leader)
  }

  private step(
    leader: number,
    make: (router: OrderRouter, now: number) => readonly RouterAction[],
  ): void {
    const router = this.routers[leader]
    if (router === undefined) return
    for (const action of make(router, this.options.now())) this.perform(leader, action)
  }

  private perform(leader: number, action: RouterAction): void {
    const { orders, tell } = this.options
    switch (action.kind) {
      case RouterActionKind.Call: {
        const { send } = action
        orders.carry(`d${leader}`, send.order, (answer) => {
          tell(leader, answerEvent(send, answer))
        })
        return
      }
      case RouterActionKind.Forward:
        for (const order of action.orders) this.forward(leader, action.to, order)
        return
      case RouterActionKind.Tell:
        tell(leader, action.event)
        return
      case RouterActionKind.Log:
    }
  }

  private forward(leader: number, proxy: string, order: EndpointOrder): void {
    this.bring(proxy, () => {
      this.options.orders.carry(proxy, order, (answer) => {
        const answers = [create(EndpointAnswerSchema, { id: order.id, answer })]
        const event = { kind: RouterEventKind.Answers, from: proxy, forBoot: 0, answers } as const
        this.bring(proxy, () => {
          this.step(leader, (router, now) => router.step(now, event))
        })
      })
    })
  }

  /** A message to a proxy or from it; one that meets the silence is delivered after it. */
  private bring(proxy: string, deliver: () => void): void {
    const silentMs = Math.max(0, (this.silentUntil.get(proxy) ?? 0) - this.options.now())
    this.options.after(silentMs + WAY_MS, deliver)
  }
}
