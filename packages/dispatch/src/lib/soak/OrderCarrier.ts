import { DispatchEventKind, HoldFailure } from '../DispatchEvent'
import type { DispatchEvent } from '../DispatchEvent'
import { StartResult } from '../gateway/EndpointGateway'
import type { HoldOrder, StartOrder, StopOrder } from '../gateway/EndpointGateway'
import type { SimulatedEndpoint } from './SimulatedEndpoint'

/** Draws of a run; all take numbers from 0 to 1. @internal */
export interface WorldChances {
  /** An order is carried out, and its answer is lost. */
  readonly lostAnswer: number
  /** An order is carried out seconds later and not answered. */
  readonly lateOrder: number
  /** A run fails. */
  readonly failedRun: number
}

/** What orders need of the world around them. @internal */
export interface OrderWorld {
  readonly endpoints: readonly SimulatedEndpoint[]
  readonly chances: WorldChances
  /** How long the next run takes, in milliseconds. */
  readonly drawRunMs: () => number
  readonly random: () => number
  readonly now: () => number
  readonly after: (ms: number, run: () => void) => void
  readonly tell: (leader: number, event: DispatchEvent) => void
  readonly isCut: (leader: number, endpoint: string) => boolean
}

/** One way between instances and endpoints, in milliseconds. */
export const WAY_MS = 2

/** Brings orders to simulated endpoints and answers back: in time, late, or not at all. @internal */
export class OrderCarrier {
  constructor(private readonly world: OrderWorld) {}

  hold(leader: number, order: HoldOrder): void {
    const { endpoint, fencingToken: token, sentAt } = order
    const fail = (failure: HoldFailure): void => {
      const detail = 'simulated'
      const kind = DispatchEventKind.HoldFailed
      this.world.tell(leader, { kind, endpoint, token, sentAt, failure, detail })
    }
    this.#order(
      leader,
      order,
      (target, answer) => {
        const begin = this.world.now()
        const poll = (): void => {
          const report = target.hold(this.world.now(), order)
          const isOver = this.world.now() - begin >= order.waitMs
          if (typeof report !== 'string' && report.ended.length === 0 && !isOver) {
            this.world.after(1, poll)
            return
          }
          answer(() => {
            if (typeof report === 'string') fail(report)
            else
              this.world.tell(leader, {
                kind: DispatchEventKind.HoldAnswered,
                endpoint,
                token,
                sentAt,
                report,
              })
          })
        }
        poll()
      },
      () => {
        fail(HoldFailure.NoAnswer)
      },
    )
  }

  start(leader: number, order: StartOrder): void {
    const { endpoint, fencingToken: token, task, run } = order
    const told = (result: StartResult): void => {
      this.world.tell(leader, {
        kind: DispatchEventKind.StartAnswered,
        endpoint,
        token,
        task,
        run,
        result,
      })
    }
    this.#order(
      leader,
      order,
      (target, answer) => {
        const { random, drawRunMs, chances } = this.world
        const runMs = drawRunMs()
        const result = target.start(this.world.now(), order, runMs, random() < chances.failedRun)
        answer(() => {
          told(result)
        })
      },
      () => {
        told(StartResult.Unknown)
      },
    )
  }

  stop(leader: number, order: StopOrder): void {
    const { endpoint, fencingToken: token, task, run } = order
    const told = (confirmed: boolean): void => {
      this.world.tell(leader, {
        kind: DispatchEventKind.StopAnswered,
        endpoint,
        token,
        task,
        run,
        confirmed,
      })
    }
    this.#order(
      leader,
      order,
      (target, answer) => {
        const confirmed = target.stop(this.world.now(), order)
        answer(() => {
          told(confirmed)
        })
      },
      () => {
        told(false)
      },
    )
  }

  /** Brings an order to its endpoint and the answer back, or neither, or both late. */
  #order(
    leader: number,
    order: HoldOrder | StartOrder | StopOrder,
    carryOut: (target: SimulatedEndpoint, answer: (tell: () => void) => void) => void,
    onTimeout: () => void,
  ): void {
    const { random } = this.world
    const target = this.world.endpoints.find(({ options }) => options.id === order.endpoint)
    let isSettled = false
    const settle = (tell: () => void): void => {
      if (isSettled) return
      isSettled = true
      tell()
    }
    this.world.after(order.timeoutMs, () => {
      settle(onTimeout)
    })
    if (target === undefined || this.world.isCut(leader, order.endpoint)) return
    const isLate = random() < this.world.chances.lateOrder
    const isLost = isLate || random() < this.world.chances.lostAnswer
    this.world.after(isLate ? 2_000 + random() * 3_000 : WAY_MS, () => {
      carryOut(target, (tell) => {
        if (isLost || this.world.isCut(leader, order.endpoint)) return
        this.world.after(WAY_MS, () => {
          settle(tell)
        })
      })
    })
  }
}
