import { create } from '@bufbuild/protobuf'
import type { Mechanism } from '@cherryhitch/model'
import {
  decodeText,
  encodeText,
  EndpointNoticeSchema,
  makeEndpointCapacity,
  makeJobStep,
  makeSteppedJob,
  makeSubmitJob,
  NoticeState,
  RoutingTableSchema,
} from '@cherryhitch/protocol'
import type { EndpointAnswer, EndpointOrder, EnvelopeBody } from '@cherryhitch/protocol'
import { DispatchActionKind } from '../DispatchAction'
import type { DispatchAction } from '../DispatchAction'
import type { DispatchCounters } from '../DispatchCore'
import { DispatchEventKind } from '../DispatchEvent'
import type { DispatchEvent } from '../DispatchEvent'
import { DispatchMachine } from '../DispatchMachine'
import { OrderRouter, RouterActionKind, RouterEventKind } from '../orders/OrderRouter'
import type { RouterAction } from '../orders/OrderRouter'
import { WarmupEndpoint } from './WarmupEndpoint'

const SERVICE = 'rehearsed'
const HOST = 'rehearsal'
const TERM = 1
/** Enough endpoints for the leader to send its orders through proxies. */
const ENDPOINTS = 80
const PROXIES = ['p1', 'p2'].map((instance) => ({ instance, zone: 'z' }))
const CAPACITY_CPU = 32_000
const TASK_CPU = 16_000
const TASK_MB = 64
/** Simulated time per step, in milliseconds. */
const STEP_MS = 5
/** Number of steps after which the code that a leader runs is compiled and optimized. */
const STEPS = 400
/** Jobs submitted per step: about three quarters of the endpoints' capacity. */
const JOBS_PER_STEP = 3
const MAX_TASKS = 6
const ESTIMATE_MS = 60
const DEADLINE_MS = 1_500
const ID_DIGITS = 16

/** @public */
export interface LeaderWarmupOptions {
  /** Mechanisms that the process's dispatcher has disabled: their code would be warmed up in vain. */
  readonly without: readonly Mechanism[]
}

/** @public */
export const defaultLeaderWarmupOptions: LeaderWarmupOptions = {
  without: [],
}

/**
 * Warms up the JIT compiler for the code of a leader, by running jobs through a separate dispatcher
 * with simulated endpoints. A new leader receives all open jobs at once, and code that runs for the
 * first time takes several times as long.
 *
 * It sends nothing out of the process, and is independent of the process's real dispatcher.
 *
 * @public
 */
export class LeaderWarmup {
  readonly #machine: DispatchMachine
  readonly #router = new OrderRouter()
  readonly #endpoints = new Map<string, WarmupEndpoint>()
  #events: DispatchEvent[] = []
  #now = 0
  #steps = 0
  #jobs = 0

  constructor(options: Partial<LeaderWarmupOptions> = {}) {
    const { without } = { ...defaultLeaderWarmupOptions, ...options }
    this.#machine = new DispatchMachine({ without })
    this.#events.push(
      {
        kind: DispatchEventKind.BecomeLeader,
        term: TERM,
        table: makeTable(),
        drainedZones: new Set(),
      },
      { kind: DispatchEventKind.EarlierLeadersConfirmed, term: TERM, confirmedUntil: -Infinity },
      { kind: DispatchEventKind.DirectoryComplete, term: TERM },
    )
    for (let n = 0; n < ENDPOINTS; n++) this.#addEndpoint(`e${n}`)
  }

  get isDone(): boolean {
    return this.#steps >= STEPS
  }

  get counters(): Readonly<DispatchCounters> {
    return this.#machine.counters
  }

  /** Advances the simulated time by one step. */
  step(): void {
    this.#steps++
    this.#now += STEP_MS
    const proxies = {
      kind: RouterEventKind.Proxies,
      proxies: PROXIES,
      endpoints: ENDPOINTS,
    } as const
    this.#route(this.#router.step(this.#now, proxies))
    this.#events.push({ kind: DispatchEventKind.LeadershipConfirmed, at: this.#now })
    for (let n = 0; n < JOBS_PER_STEP; n++) this.#submit()
    const events = this.#events
    this.#events = []
    this.#perform(this.#machine.stepAll(this.#now, events))
    this.#perform(this.#machine.tick(this.#now))
    this.#route(this.#router.tick(this.#now))
    this.#answer(
      [...this.#endpoints.values()].flatMap((endpoint) => endpoint.advance(this.#now) ?? []),
    )
  }

  #addEndpoint(endpoint: string): void {
    this.#endpoints.set(endpoint, new WarmupEndpoint())
    const notice = create(EndpointNoticeSchema, {
      endpoint,
      service: SERVICE,
      address: `${endpoint}:80`,
      zone: 'z',
      state: NoticeState.SERVING,
      capacity: { cpuMillis: CAPACITY_CPU, memoryMb: CAPACITY_CPU },
      sequence: 1,
    })
    this.#events.push({ kind: DispatchEventKind.Notice, notice })
  }

  #submit(): void {
    const jobId = (++this.#jobs).toString().padStart(ID_DIGITS, '0')
    const step = makeJobStep({
      count: 1 + (this.#jobs % MAX_TASKS),
      needs: makeEndpointCapacity(TASK_CPU, TASK_MB, 0),
      estimateMs: ESTIMATE_MS,
      dependsOn: [],
      requiredLabel: '',
      dataRack: '',
      maxPerEndpoint: 0,
    })
    const req = makeSubmitJob({
      requestId: jobId,
      host: HOST,
      path: `/${jobId}`,
      spec: makeSteppedJob(jobId, 'p', [step]),
      remainingMs: DEADLINE_MS,
      waitedMs: 1,
      earlierAttempts: 0,
    })
    const sent = encodeAndDecode({ case: 'submitJob', value: req })
    if (sent?.case !== 'submitJob') return
    this.#events.push({ kind: DispatchEventKind.SubmitJob, from: 'entry', req: sent.value })
  }

  #perform(actions: readonly DispatchAction[]): void {
    for (const action of actions) {
      if (action.kind === DispatchActionKind.Order) {
        this.#router.step(this.#now, { kind: RouterEventKind.Order, send: action })
      } else if (action.kind === DispatchActionKind.Answer) {
        encodeAndDecode({ case: 'jobOutcome', value: action.outcome })
      }
    }
  }

  #route(actions: readonly RouterAction[]): void {
    for (const action of actions) {
      if (action.kind === RouterActionKind.DeliverAnswer) this.#events.push(action.event)
      else if (action.kind === RouterActionKind.Forward) this.#carry(action.orders)
      else if (action.kind === RouterActionKind.Call) this.#carry([action.send.order])
    }
  }

  #carry(orders: readonly EndpointOrder[]): void {
    const $typeName = 'cherryhitch.v1.EndpointOrders' as const
    const value = { $typeName, orders: [...orders], sentMs: this.#now }
    const sent = encodeAndDecode({ case: 'endpointOrders', value })
    if (sent?.case !== 'endpointOrders') return
    this.#answer(
      sent.value.orders.flatMap((order) => {
        return this.#endpoints.get(order.endpoint)?.handle(this.#now, order) ?? []
      }),
    )
  }

  #answer(answers: EndpointAnswer[]): void {
    if (answers.length === 0) return
    const value = { $typeName: 'cherryhitch.v1.EndpointAnswers' as const, answers, forBoot: 0 }
    const sent = encodeAndDecode({ case: 'endpointAnswers', value })
    if (sent?.case !== 'endpointAnswers') return
    const from = PROXIES[0]?.instance ?? ''
    const event = { kind: RouterEventKind.Answers, from, ...sent.value } as const
    this.#route(this.#router.step(this.#now, event))
  }
}

/** Encodes a message as a link does, and decodes it as its receiver does. */
function encodeAndDecode(body: EnvelopeBody): EnvelopeBody | undefined {
  const text = encodeText(body)
  return text === undefined ? undefined : decodeText(text)
}

function makeTable() {
  return create(RoutingTableSchema, {
    version: 1,
    routes: [
      { name: 'r', host: HOST, pathPrefix: '/', service: SERVICE, targetMs: 60, stretch: 1.6 },
    ],
    services: [SERVICE],
  })
}
