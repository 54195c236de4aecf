import { create } from '@bufbuild/protobuf'
import { HoldFailure, HoldFaultSchema, StartResult } from '@cherryhitch/protocol'
import type { EndpointOrder, HoldOrder, StartOrder } from '@cherryhitch/protocol'
import type { OrderAnswer } from '../gateway/EndpointGateway'
import { noAnswer } from '../gateway/noAnswer'
import { endpointIdOf } from './SimulatedEndpoint'
import type { SimulatedEndpoint } from './SimulatedEndpoint'

/** Failure probabilities of a simulation, from 0 to 1. @internal */
export interface WorldChances {
  /** An order is executed, but its answer is lost. */
  readonly lostAnswer: number
  /**
   * An order is executed seconds late and not answered: by the incarnation that received it or, as
   * often, by the one that has the same id by then.
   */
  readonly lateOrder: number
  /** A run fails. */
  readonly failedRun: number
}

/** Interface of the simulation to the transport of orders. @internal */
export interface OrderTransportContext {
  readonly endpoints: readonly SimulatedEndpoint[]
  readonly chances: WorldChances
  /** Returns the run time of a task at an endpoint, in milliseconds. */
  readonly drawRunMs: (task: string, endpoint: string) => number
  readonly random: () => number
  readonly now: () => number
  readonly after: (ms: number, run: () => void) => void
  /** Whether an instance can't reach an endpoint now. */
  readonly isCut: (caller: string, endpoint: string) => boolean
  /** Whether an endpoint's answers don't reach an instance now; like `isCut` by default. */
  readonly isAnswerCut?: (caller: string, endpoint: string) => boolean
  /** See `DispatchSimulationOptions`. */
  readonly takesLivesForOne?: boolean
}

interface CarriedOrder {
  readonly order: EndpointOrder
  readonly isLate: boolean
}

/** Called with the answer to an order. @internal */
export type OnAnswer = (answer: OrderAnswer) => void

/** One-way latency between instances and endpoints, in milliseconds. */
export const WAY_MS = 2

/** Simulated transport of orders and answers, which may delay or lose them. @internal */
export class OrderTransport {
  constructor(private readonly world: OrderTransportContext) {}

  /**
   * Delivers an order to its endpoint, and the answer to the caller. Either may be lost, and a
   * delayed order is not answered.
   *
   * @param caller - instance that calls the endpoint
   */
  carry(caller: string, order: EndpointOrder, onAnswer: OnAnswer): void {
    const { random, chances } = this.world
    const id = endpointIdOf(order.endpoint)
    let isSettled = false
    const settle: OnAnswer = (answer) => {
      if (isSettled) return
      isSettled = true
      onAnswer(answer)
    }
    this.world.after(order.timeoutMs, () => {
      settle(noAnswer(order, 'simulated'))
    })
    if (this.world.isCut(caller, id)) return
    const present = this.currentIncarnation(id)
    if (present === undefined) {
      this.answerForOther(order, settle)
      return
    }
    const isLate = random() < chances.lateOrder
    const isLost = isLate || random() < chances.lostAnswer
    const isTaken = isLate && order.id % 2 === 0
    this.world.after(isLate ? 2_000 + random() * 3_000 : WAY_MS, () => {
      const target = isTaken ? present : this.currentIncarnation(id)
      if (target === undefined || target.isGone) return
      this.carryOut(target, { order, isLate }, (answer) => {
        const { isCut, isAnswerCut = isCut } = this.world
        if (isLost || isAnswerCut(caller, id) || target.isGone) return
        this.world.after(WAY_MS, () => {
          settle(answer)
        })
      })
    })
  }

  private currentIncarnation(id: string): SimulatedEndpoint | undefined {
    return this.world.endpoints.find(({ options }) => options.id === id)
  }

  /** Answers as an endpoint of another id at the same address: the addressed one was replaced. */
  private answerForOther(order: EndpointOrder, settle: OnAnswer): void {
    const { endpoints, after } = this.world
    if (!endpoints.some(({ options }) => options.address === order.address)) return
    after(2 * WAY_MS, () => {
      settle(replaced(order))
    })
  }

  private carryOut(
    target: SimulatedEndpoint,
    { order, isLate }: CarriedOrder,
    onAnswer: OnAnswer,
  ): void {
    const { fencingToken: token, order: what } = order
    const now = this.world.now()
    switch (what.case) {
      case 'hold':
        this.hold(target, token, what.value, (answer) => {
          onAnswer(this.isMeant(target, order) ? answer : faultOf(HoldFailure.RESTARTED))
        })
        return
      case 'start':
        onAnswer(this.start(target, token, { order: what.value, isLate }))
        return
      case 'stop':
        onAnswer({ case: 'stopped', value: target.stop(now, token, what.value) })
        return
      case undefined:
    }
  }

  /** Whether the incarnation that answers is the addressed one, which its lists name. */
  private isMeant(target: SimulatedEndpoint, { endpoint }: EndpointOrder): boolean {
    return this.world.takesLivesForOne === true || target.name === endpoint
  }

  private start(
    target: SimulatedEndpoint,
    token: number,
    { order, isLate }: { readonly order: StartOrder; readonly isLate: boolean },
  ): OrderAnswer {
    const { random, drawRunMs, chances, now } = this.world
    const runMs = drawRunMs(order.task, target.options.id)
    const fate = { runMs, fails: random() < chances.failedRun, isLate }
    return { case: 'started', value: target.start(now(), token, order, fate) }
  }

  /** Answers once there is an ended run to report, or after the wait of the order. */
  private hold(
    target: SimulatedEndpoint,
    token: number,
    order: HoldOrder,
    onAnswer: OnAnswer,
  ): void {
    const begin = this.world.now()
    const poll = (): void => {
      if (target.isGone) return
      const now = this.world.now()
      const failure = target.hold(now, token, order)
      if (failure !== undefined) onAnswer(faultOf(failure))
      else if (target.hasEnds || now - begin >= order.waitMs) {
        onAnswer({ case: 'report', value: target.report(now) })
      } else this.world.after(1, poll)
    }
    poll()
  }
}

function faultOf(failure: HoldFailure): OrderAnswer {
  return { case: 'fault', value: create(HoldFaultSchema, { failure, detail: 'simulated' }) }
}

function replaced(order: EndpointOrder): OrderAnswer {
  switch (order.order.case) {
    case 'start':
      return { case: 'started', value: StartResult.REPLACED }
    case 'stop':
      return { case: 'stopped', value: false }
    case 'hold':
    case undefined:
      return faultOf(HoldFailure.REPLACED)
  }
}
