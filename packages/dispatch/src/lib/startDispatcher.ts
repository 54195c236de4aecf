import { exhaustive } from '@cherryhitch/model'
import { wrapMessage } from '@cherryhitch/protocol'
import type { EndpointAnswers, EndpointNotice, Envelope } from '@cherryhitch/protocol'
import { startPart, systemClock } from '@cherryhitch/runtime'
import type { Clock, Part } from '@cherryhitch/runtime'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { LossNews } from './crashes/LossNews'
import { DispatchActionKind } from './DispatchAction'
import type { DispatchAction, SendOrder, Stage } from './DispatchAction'
import type { DispatchEvent } from './DispatchEvent'
import type { DispatchMachine } from './DispatchMachine'
import type { EndpointGateway } from './gateway/EndpointGateway'
import { answerEvent } from './orders/answerEvent'
import { OrderRouter, RouterActionKind, RouterEventKind } from './orders/OrderRouter'
import type { RouterAction } from './orders/OrderRouter'
import type { ProxyInstance } from './orders/ProxyAssignments'

/** @public */
export interface DispatcherOptions {
  /** Boot of this process. */
  readonly boot: number
  readonly machine: DispatchMachine
  readonly gateway: EndpointGateway
  readonly send: (to: string, message: Envelope) => void
  /** Brings the notice of an endpoint to all who may lead. */
  readonly spread: (notice: EndpointNotice) => void
  /** Tells all who may lead of endpoints that were lost. */
  readonly spreadLosses: (news: LossNews) => void
  readonly log: (sentence: string, fields: Readonly<Record<string, unknown>>) => void
  readonly measure: (stage: Stage, route: string, ms: number) => void
  readonly onDefect: (defect: unknown) => void
  readonly clock?: Clock
}

/** @public */
export interface Dispatcher extends Part<DispatchEvent> {
  /** A proxy tells what came of orders. */
  readonly onAnswers: (from: string, message: EndpointAnswers) => void
  /** Which other instances may bring orders to endpoints. */
  readonly setProxies: (proxies: readonly ProxyInstance[]) => void
}

/**
 * Where proxies carry the orders, the leader takes in together what came within this, in
 * milliseconds: a step and messages for each single answer cost more than what they decide. It delays
 * a task by half of it on average, little of what the shortest jobs have.
 */
const STEP_GAP_MS = 6
/**
 * A leader whose steps take long gathers more for each, so that they leave two thirds of the time to its
 * links; up to this gap, in milliseconds, which is a tenth of what the shortest jobs have to spare.
 */
const MOST_STEP_GAP_MS = 10
const GAP_OVER_STEP = 3
/** Pace of timeouts: a tenth of the shortest time that is waited for, in milliseconds. */
const TICK_MS = 10

/** Starts the fiber that owns the dispatcher, and carries out its orders. @public */
export function startDispatcher(
  options: DispatcherOptions,
): Effect.Effect<Dispatcher, never, Scope.Scope> {
  const { machine, onDefect } = options
  const clock = options.clock ?? systemClock
  return Effect.gen(function* () {
    const shell = new DispatcherShell(options, clock)
    const perform = (action: DispatchAction): void => {
      shell.perform(action)
    }
    const onStepEnd = (): void => {
      shell.sendOrders()
    }
    const gapMs = (tookMs: number): number => (shell.usesProxies ? stepGap(tookMs) : 0)
    const parts = { perform, onStepEnd, onDefect, tickMs: TICK_MS, clock, gapMs }
    const part = yield* startPart(machine, parts)
    shell.tell = part.tell
    return {
      ...part,
      onAnswers: (from, message) => {
        shell.onAnswers(from, message)
      },
      setProxies: (proxies) => {
        shell.setProxies(proxies)
      },
    }
  })
}

/** Least time between two steps, after one that took so long. */
function stepGap(tookMs: number): number {
  return Math.min(MOST_STEP_GAP_MS, Math.max(STEP_GAP_MS, GAP_OVER_STEP * tookMs))
}

class DispatcherShell {
  tell: (event: DispatchEvent) => void = () => undefined
  private readonly router: OrderRouter

  constructor(
    private readonly options: DispatcherOptions,
    private readonly clock: Clock,
  ) {
    this.router = new OrderRouter({ boot: options.boot })
  }

  get usesProxies(): boolean {
    return this.router.usesProxies
  }

  perform(action: DispatchAction): void {
    const { options } = this
    switch (action.kind) {
      case DispatchActionKind.Order:
        this.router.step(this.clock.now(), { kind: RouterEventKind.Order, send: action })
        return
      case DispatchActionKind.Answer:
        options.send(action.to, wrapMessage({ case: 'jobOutcome', value: action.outcome }))
        return
      case DispatchActionKind.Spread:
        options.spread(action.notice)
        return
      case DispatchActionKind.SpreadLoss:
        options.spreadLosses(action.news)
        return
      case DispatchActionKind.Log:
        options.log(action.sentence, action.fields)
        return
      case DispatchActionKind.Measure:
        options.measure(action.stage, action.route, action.ms)
        return
      default:
        exhaustive(action)
    }
  }

  /** Sends what the last step ordered. */
  sendOrders(): void {
    this.route(this.router.tick(this.clock.now()))
  }

  onAnswers(from: string, { answers, forBoot }: EndpointAnswers): void {
    const event = { kind: RouterEventKind.Answers, from, forBoot, answers } as const
    this.route(this.router.step(this.clock.now(), event))
  }

  setProxies(proxies: readonly ProxyInstance[]): void {
    const { endpoints } = this.options.machine
    const event = { kind: RouterEventKind.Proxies, proxies, endpoints } as const
    this.route(this.router.step(this.clock.now(), event))
  }

  private route(actions: readonly RouterAction[]): void {
    for (const action of actions) {
      switch (action.kind) {
        case RouterActionKind.Call:
          this.call(action.send)
          break
        case RouterActionKind.Forward: {
          const $typeName = 'cherryhitch.v1.EndpointOrders' as const
          const value = { $typeName, orders: [...action.orders], sentMs: this.clock.now() }
          this.options.send(action.to, wrapMessage({ case: 'endpointOrders', value }))
          break
        }
        case RouterActionKind.Tell:
          this.tell(action.event)
          break
        case RouterActionKind.Log:
          this.options.log(action.sentence, action.fields)
          break
        default:
          exhaustive(action)
      }
    }
  }

  private call(send: SendOrder): void {
    this.options.gateway.call(send.order, (answer) => {
      this.tell(answerEvent(send, answer))
    })
  }
}
