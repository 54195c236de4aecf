import { exhaustive } from '@cherryhitch/model'
import { wrapMessage } from '@cherryhitch/protocol'
import type { EndpointAnswers, EndpointNotice, Envelope, LeaderHints } from '@cherryhitch/protocol'
import { startActor, systemClock } from '@cherryhitch/runtime'
import type { Clock, Actor } from '@cherryhitch/runtime'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { LossUpdate } from './crashes/LossUpdate'
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
  /** Boot identifier of this process. */
  readonly boot: number
  readonly machine: DispatchMachine
  readonly gateway: EndpointGateway
  readonly send: (to: string, message: Envelope) => void
  /** Broadcasts notices of endpoints to all instances that may become leader. */
  readonly broadcastNotices: (notices: EndpointNotice[]) => void
  /** Broadcasts a report on lost endpoints to all instances that may become leader. */
  readonly broadcastLosses: (news: LossUpdate) => void
  /** Sends what this leader has learnt to all instances that may become leader. */
  readonly broadcastHints: (hints: LeaderHints) => void
  readonly log: (message: string, fields: Readonly<Record<string, unknown>>) => void
  readonly measure: (stage: Stage, route: string, ms: number) => void
  readonly onDefect: (defect: unknown) => void
  readonly clock?: Clock
}

/** @public */
export interface Dispatcher extends Actor<DispatchEvent> {
  /** Handles answers to orders that a proxy forwarded. */
  readonly onAnswers: (from: string, message: EndpointAnswers) => void
  /** Sets the other instances that may forward orders to endpoints. */
  readonly setProxies: (proxies: readonly ProxyInstance[]) => void
}

/**
 * Least interval between steps while proxies forward orders, in milliseconds. Events that arrive
 * within it are handled in one step, since a step and messages for each single answer cost more
 * than the work they carry. It delays a task by half of it on average, which is little compared
 * with the objective of the shortest jobs.
 */
const MIN_STEP_INTERVAL_MS = 6
/**
 * A leader whose steps take long batches more events per step, so that steps leave two thirds of
 * the time to its links. This is the upper bound of the interval, in milliseconds: a tenth of the
 * slack of the shortest jobs.
 */
const MAX_STEP_INTERVAL_MS = 10
const STEP_INTERVAL_FACTOR = 3
/** Interval of timeout checks, in milliseconds: a tenth of the shortest timeout. */
const TICK_MS = 10

/** Starts the fiber that runs the dispatcher, and carries out its actions. @public */
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
      shell.sendNotices()
      shell.sendOrders()
    }
    const gapMs = (tookMs: number): number => (shell.usesProxies ? stepIntervalMs(tookMs) : 0)
    const parts = { perform, onStepEnd, onDefect, tickMs: TICK_MS, clock, gapMs }
    const part = yield* startActor(machine, parts)
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

/** Least interval before the next step, after one that took the given time. */
function stepIntervalMs(tookMs: number): number {
  return Math.min(
    MAX_STEP_INTERVAL_MS,
    Math.max(MIN_STEP_INTERVAL_MS, STEP_INTERVAL_FACTOR * tookMs),
  )
}

class DispatcherShell {
  tell: (event: DispatchEvent) => void = () => undefined
  private readonly router: OrderRouter
  /** Notices to broadcast at the end of the present step. */
  private notices: EndpointNotice[] = []

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
      case DispatchActionKind.BroadcastNotice:
        this.notices.push(action.notice)
        return
      case DispatchActionKind.BroadcastLosses:
        options.broadcastLosses(action.losses)
        return
      case DispatchActionKind.BroadcastHints:
        options.broadcastHints(action.hints)
        return
      case DispatchActionKind.SendOpenJobs:
        options.send(action.to, wrapMessage({ case: 'openJobs', value: action.openJobs }))
        return
      case DispatchActionKind.Log:
        options.log(action.message, action.fields)
        return
      case DispatchActionKind.Measure:
        options.measure(action.stage, action.route, action.ms)
        return
      default:
        exhaustive(action)
    }
  }

  /**
   * Sends the notices of the last step in one message to each instance, before the orders that they
   * must precede: a new leader broadcasts all endpoints at once.
   */
  sendNotices(): void {
    if (this.notices.length === 0) return
    this.options.broadcastNotices(this.notices)
    this.notices = []
  }

  /** Sends the orders of the last step. */
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
        case RouterActionKind.DeliverAnswer:
          this.tell(action.event)
          break
        case RouterActionKind.Log:
          this.options.log(action.message, action.fields)
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
