import { create } from '@bufbuild/protobuf'
import { EndpointOrdersSchema } from '@cherryhitch/protocol'
import type { EndpointOrder, Envelope } from '@cherryhitch/protocol'
import type { SendOrder } from '../DispatchAction'
import type { DispatchEvent } from '../DispatchEvent'
import { answerEvent } from '../orders/answerEvent'
import { EndpointGateway } from '../gateway/EndpointGateway'
import type { OrderAnswer } from '../gateway/EndpointGateway'
import { OrderProxy } from '../orders/OrderProxy'
import { OrderRouter, RouterActionKind, RouterEventKind } from '../orders/OrderRouter'
import type { RouterAction } from '../orders/OrderRouter'
import { WAY_MS } from './OrderTransport'
import type { OrderTransport } from './OrderTransport'
import type { Processes } from './Processes'

/** @internal */
export interface SimulatedOrderRoutingOptions {
  readonly leaders: number
  readonly proxies: number
  readonly orders: OrderTransport
  readonly now: () => number
  readonly after: (ms: number, run: () => void) => void
  readonly tell: (leader: number, event: DispatchEvent) => void
  readonly processes: Processes
}

/** Routes orders from leaders to endpoints, directly or through proxies. @internal */
export class SimulatedOrderRouting {
  private readonly routers: OrderRouter[]
  private readonly proxies: OrderProxy[]
  private readonly silentUntil = new Map<string, number>()

  constructor(private readonly options: SimulatedOrderRoutingOptions) {
    this.routers = Array.from({ length: options.leaders }, (_, i) => this.makeRouter(i))
    this.proxies = Array.from({ length: options.proxies }, (_, i) => this.makeProxy(`p${i}`))
  }

  /** Resets the router of a leader whose process restarts. */
  restart(leader: number): void {
    this.routers[leader] = this.makeRouter(leader)
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
        const onAnswer = (answer: OrderAnswer): void => {
          tell(leader, answerEvent(send, answer))
        }
        orders.carry(`d${leader}`, send.order, this.options.processes.bind(leader, onAnswer))
        return
      }
      case RouterActionKind.Forward:
        this.forward(leader, action.to, action.orders)
        return
      case RouterActionKind.DeliverAnswer:
        tell(leader, action.event)
        return
      case RouterActionKind.Log:
    }
  }

  private makeRouter(leader: number): OrderRouter {
    const { boot } = this.options.processes.of(leader)
    return new OrderRouter({ boot, directEndpoints: 0 })
  }

  private makeProxy(name: string): OrderProxy {
    const { orders, now, after } = this.options
    return new OrderProxy({
      gateway: new CarryingGateway(name, orders),
      now,
      after,
      send: (to, message) => {
        this.bring(name, () => {
          this.receive(name, Number(to.slice(1)), message)
        })
      },
    })
  }

  private forward(leader: number, proxy: string, orders: readonly EndpointOrder[]): void {
    const { boot } = this.options.processes.of(leader)
    const sentMs = this.options.now()
    const message = create(EndpointOrdersSchema, { orders: [...orders], sentMs })
    this.bring(proxy, () => {
      this.proxies[Number(proxy.slice(1))]?.onOrders(`d${leader}`, boot, message)
    })
  }

  /** Processes a message from a proxy at a leader. */
  private receive(from: string, leader: number, { body }: Envelope): void {
    if (body.case !== 'endpointAnswers') return
    const event = { kind: RouterEventKind.Answers, from, ...body.value } as const
    this.step(leader, (router, now) => router.step(now, event))
  }

  /** Delivers a message to or from a proxy, after its silence if it is silenced. */
  private bring(proxy: string, deliver: () => void): void {
    const silentMs = Math.max(0, (this.silentUntil.get(proxy) ?? 0) - this.options.now())
    this.options.after(silentMs + WAY_MS, deliver)
  }
}

/** Calls simulated endpoints. */
class CarryingGateway extends EndpointGateway {
  constructor(
    private readonly caller: string,
    private readonly orders: OrderTransport,
  ) {
    super()
  }

  override call(order: EndpointOrder, done: (answer: OrderAnswer) => void): void {
    this.orders.carry(this.caller, order, done)
  }
}
