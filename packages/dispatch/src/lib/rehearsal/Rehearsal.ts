import { create } from '@bufbuild/protobuf'
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
import { DispatchEventKind } from '../DispatchEvent'
import type { DispatchEvent } from '../DispatchEvent'
import { DispatchMachine } from '../DispatchMachine'
import { OrderRouter, RouterActionKind, RouterEventKind } from '../orders/OrderRouter'
import type { RouterAction } from '../orders/OrderRouter'
import { RehearsedEndpoint } from './RehearsedEndpoint'

const SERVICE = 'rehearsed'
const HOST = 'rehearsal'
const TERM = 1
/** So many that a leader's orders go through others. */
const ENDPOINTS = 80
const PROXIES = ['p1', 'p2'].map((instance) => ({ instance, zone: 'z' }))
const CAPACITY_CPU = 32_000
const TASK_CPU = 16_000
const TASK_MB = 64
/** Time that passes in one step, in milliseconds. */
const STEP_MS = 5
/** Steps after which the code that a leader needs has been compiled and optimised. */
const STEPS = 400
/** Jobs of one step: some three quarters of what the endpoints can do. */
const JOBS_A_STEP = 3
const MOST_TASKS = 6
const ESTIMATE_MS = 60
const DEADLINE_MS = 1_500
const ID_DIGITS = 16

/**
 * Jobs that a dispatcher of its own plays through, with endpoints that are made up: a process that
 * may lead at any moment has then compiled what a leader does. A new leader gets all open jobs at
 * once, and code that is run for the first time takes several times as long.
 *
 * Nothing of it leaves the process, and nothing of the process's own work goes through it.
 *
 * @public
 */
export class Rehearsal {
  readonly #machine = new DispatchMachine({})
  readonly #router = new OrderRouter()
  readonly #endpoints = new Map<string, RehearsedEndpoint>()
  #events: DispatchEvent[] = []
  #now = 0
  #steps = 0
  #jobs = 0

  constructor() {
    this.#events.push(
      { kind: DispatchEventKind.Lead, term: TERM, table: makeTable() },
      { kind: DispatchEventKind.EarlierLeaders, term: TERM, followedUntil: -Infinity },
      { kind: DispatchEventKind.DirectoryRead, term: TERM },
    )
    for (let n = 0; n < ENDPOINTS; n++) this.#addEndpoint(`e${n}`)
  }

  get isOver(): boolean {
    return this.#steps >= STEPS
  }

  /** Jobs that were played to their end. */
  get completed(): number {
    return this.#machine.counters.jobs_completed
  }

  /** Lets some milliseconds of the rehearsal's own time pass. */
  step(): void {
    this.#steps++
    this.#now += STEP_MS
    const proxies = {
      kind: RouterEventKind.Proxies,
      proxies: PROXIES,
      endpoints: ENDPOINTS,
    } as const
    this.#route(this.#router.step(this.#now, proxies))
    this.#events.push({ kind: DispatchEventKind.Confirmed, at: this.#now })
    for (let n = 0; n < JOBS_A_STEP; n++) this.#submit()
    const events = this.#events
    this.#events = []
    this.#perform(this.#machine.stepAll(this.#now, events))
    this.#perform(this.#machine.tick(this.#now))
    this.#route(this.#router.tick(this.#now))
    this.#answer([...this.#endpoints.values()].flatMap((one) => one.advance(this.#now) ?? []))
  }

  #addEndpoint(endpoint: string): void {
    this.#endpoints.set(endpoint, new RehearsedEndpoint())
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
      count: 1 + (this.#jobs % MOST_TASKS),
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
    const sent = sendAndRead({ case: 'submitJob', value: req })
    if (sent?.case !== 'submitJob') return
    this.#events.push({ kind: DispatchEventKind.Submit, from: 'entry', req: sent.value })
  }

  #perform(actions: readonly DispatchAction[]): void {
    for (const action of actions) {
      if (action.kind === DispatchActionKind.Order) {
        this.#router.step(this.#now, { kind: RouterEventKind.Order, send: action })
      } else if (action.kind === DispatchActionKind.Answer) {
        sendAndRead({ case: 'jobOutcome', value: action.outcome })
      }
    }
  }

  #route(actions: readonly RouterAction[]): void {
    for (const action of actions) {
      if (action.kind === RouterActionKind.Tell) this.#events.push(action.event)
      else if (action.kind === RouterActionKind.Forward) this.#carry(action.orders)
      else if (action.kind === RouterActionKind.Call) this.#carry([action.send.order])
    }
  }

  #carry(orders: readonly EndpointOrder[]): void {
    const $typeName = 'cherryhitch.v1.EndpointOrders' as const
    const value = { $typeName, orders: [...orders], sentMs: this.#now }
    const sent = sendAndRead({ case: 'endpointOrders', value })
    if (sent?.case !== 'endpointOrders') return
    this.#answer(
      sent.value.orders.flatMap((order) => {
        return this.#endpoints.get(order.endpoint)?.take(this.#now, order) ?? []
      }),
    )
  }

  #answer(answers: EndpointAnswer[]): void {
    if (answers.length === 0) return
    const value = { $typeName: 'cherryhitch.v1.EndpointAnswers' as const, answers, forBoot: 0 }
    const sent = sendAndRead({ case: 'endpointAnswers', value })
    if (sent?.case !== 'endpointAnswers') return
    const from = PROXIES[0]?.instance ?? ''
    const event = { kind: RouterEventKind.Answers, from, ...sent.value } as const
    this.#route(this.#router.step(this.#now, event))
  }
}

/** Writes a message as it goes over a link, and reads it as its receiver does. */
function sendAndRead(body: EnvelopeBody): EnvelopeBody | undefined {
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
