import { exhaustive, Mechanism } from '@cherryhitch/model'
import { NoticeState } from '@cherryhitch/protocol'
import type { EndpointNotice } from '@cherryhitch/protocol'
import { Machine } from '@cherryhitch/runtime'
import type { LossNews } from './crashes/LossNews'
import { DispatchActionKind } from './DispatchAction'
import type { DispatchAction } from './DispatchAction'
import { DispatchCore } from './DispatchCore'
import type { DispatchCounters } from './DispatchCore'
import { DispatchEventKind } from './DispatchEvent'
import type { DispatchEvent } from './DispatchEvent'
import type { DispatchOptions } from './DispatchOptions'
import type { EndpointRecord } from './endpoints/EndpointRecord'
import { LeaseLoop } from './endpoints/LeaseLoop'
import { IntakeLimit } from './jobs/IntakeLimit'
import { JobLifecycle } from './jobs/JobLifecycle'
import { RequestHandler } from './jobs/RequestHandler'
import { AnswerHandler } from './orders/AnswerHandler'
import { ForecastAdmission } from './scheduling/ForecastAdmission'
import type { JobAdmission } from './scheduling/JobAdmission'
import { ArrivalOrder, SlackOrder } from './scheduling/JobOrder'
import type { JobOrder } from './scheduling/JobOrder'
import { OpenAdmission } from './scheduling/OpenAdmission'
import { Scheduler } from './scheduling/Scheduler'

/** Endpoints that are gone are looked for this often, in milliseconds; they wait for seconds. */
const FORGET_EVERY_MS = 200

type EventOf<K extends DispatchEventKind> = Extract<DispatchEvent, { kind: K }>

/**
 * Queues jobs, places their tasks on endpoints, follows them and answers, while this instance
 * leads. Without the leadership it only keeps the directory of endpoints.
 *
 * What runs anywhere is told by the endpoints' own lists. Every order carries the leader's term
 * as a fencing token and ends by the endpoint's clock, so that neither an old leader nor a late
 * order can start a task a second time.
 *
 * @public
 */
export class DispatchMachine extends Machine<DispatchEvent, DispatchAction> {
  readonly #core: DispatchCore
  readonly #leases: LeaseLoop
  readonly #lifecycle: JobLifecycle
  readonly #requests: RequestHandler
  readonly #answers: AnswerHandler
  readonly #scheduler: Scheduler
  readonly #intake = new IntakeLimit()
  #forgetDueAt = -Infinity

  constructor(options: DispatchOptions) {
    super()
    this.#core = new DispatchCore(options)
    this.#leases = new LeaseLoop(this.#core)
    const wake = (): void => {
      this.#scheduler.wake()
    }
    this.#lifecycle = new JobLifecycle(this.#core, this.#leases, wake)
    const { jobs, runs } = this.#lifecycle
    this.#requests = new RequestHandler(this.#core, this.#lifecycle, this.#intake)
    this.#answers = new AnswerHandler(this.#core, this.#leases, this.#lifecycle, wake)
    const order = options.order ?? this.#defaultOrder()
    const admission = options.admission ?? this.#defaultAdmission()
    this.#scheduler = new Scheduler(this.#core, {
      jobs,
      runs,
      order,
      admission,
      unlisted: this.#lifecycle.unlisted,
      refuse: (now, refused) => {
        this.#lifecycle.refuseAtDoor(now, refused)
      },
    })
  }

  #defaultOrder(): JobOrder {
    if (!this.#core.uses(Mechanism.Order)) return new ArrivalOrder()
    return new SlackOrder({ underWayFirst: this.#core.uses(Mechanism.UnderWayFirst) })
  }

  #defaultAdmission(): JobAdmission {
    if (!this.#core.uses(Mechanism.Admission)) return new OpenAdmission()
    return new ForecastAdmission()
  }

  get counters(): Readonly<DispatchCounters> {
    return this.#core.counters
  }

  get openJobs(): number {
    return this.#lifecycle.jobs.size
  }

  /** Endpoints that are known, whatever their state. */
  get endpoints(): number {
    return this.#core.endpoints.size
  }

  /** Whether an endpoint has announced itself and was not forgotten. */
  knows(endpoint: string): boolean {
    return this.#core.endpoints.get(endpoint) !== undefined
  }

  /** Whether a notice says more of an endpoint than that it is still there. */
  isNews(notice: EndpointNotice): boolean {
    return this.#core.endpoints.get(notice.endpoint)?.isNews(notice) ?? true
  }

  /** Whether this instance starts nothing at an endpoint any more once it has taken its word that it leaves. */
  heeds(notice: EndpointNotice): boolean {
    return this.#core.endpoints.heeds(notice)
  }

  get leads(): boolean {
    return this.#core.term !== undefined
  }

  /** What is known of endpoints, for another instance. */
  notices(now: number): EndpointNotice[] {
    return this.#core.endpoints.notices(now)
  }

  /** What is known of endpoints that were lost under tasks, for another instance. */
  losses(now: number): LossNews {
    return this.#core.losses.all(now)
  }

  /** How often something new of lost endpoints became known. */
  get lossChanges(): number {
    return this.#core.losses.changes
  }

  override step(now: number, event: DispatchEvent): readonly DispatchAction[] {
    this.#handle(now, event)
    return this.#placeAndTake(now)
  }

  /** Events that arrived together share one round of placing. */
  override stepAll(now: number, events: readonly DispatchEvent[]): readonly DispatchAction[] {
    for (const event of events) this.#handle(now, event)
    return this.#placeAndTake(now)
  }

  override tick(now: number): readonly DispatchAction[] {
    // What became of lost endpoints is looked at before they are forgotten.
    if (this.leads) this.#lifecycle.crashes.tick(now)
    if (now >= this.#forgetDueAt) this.#forgetEndpoints(now)
    if (this.leads) {
      this.#leases.tick(now)
      this.#lifecycle.tick(now)
      this.#scheduler.wake()
    }
    return this.#placeAndTake(now)
  }

  override noteStep(_now: number, behindMs: number): void {
    this.#intake.noteStep(behindMs)
  }

  /** Without the leadership only endpoints that are gone have to be forgotten. */
  override get tickDueAt(): number {
    return this.leads ? -Infinity : this.#forgetDueAt
  }

  #placeAndTake(now: number): readonly DispatchAction[] {
    this.#lifecycle.lookForUnlisted(now)
    this.#scheduler.run(now)
    return this.#core.takeActions()
  }

  #handle(now: number, event: DispatchEvent): void {
    switch (event.kind) {
      case DispatchEventKind.Lead:
        this.#lead(now, event)
        return
      case DispatchEventKind.StepDown:
        this.#stepDown(now)
        return
      case DispatchEventKind.DirectoryRead:
        if (event.term === this.#core.term) this.#core.hasDirectory = true
        return
      case DispatchEventKind.EarlierLeaders:
        this.#noteEarlierLeaders(event)
        return
      case DispatchEventKind.Confirmed:
        this.#core.confirmedAt = event.at
        this.#requests.onConfirmed(event.at)
        return
      case DispatchEventKind.Routing:
        this.#core.table = event.table
        return
      case DispatchEventKind.Notice:
        this.#onNotice(now, event.notice)
        return
      case DispatchEventKind.Loss:
        this.#lifecycle.crashes.onTold(now, event.news)
        return
      case DispatchEventKind.Submit:
        this.#requests.submit(now, event.from, event.req)
        this.#scheduler.wake()
        return
      case DispatchEventKind.Ask:
        this.#requests.ask(now, event.from, event.req)
        return
      case DispatchEventKind.Abandon:
        this.#requests.abandon(now, event.from, event.req)
        return
      case DispatchEventKind.Unanswered:
        this.#lifecycle.unlisted.onUnanswered(now, event.req.jobs)
        return
      case DispatchEventKind.Answered:
        this.#answers.handle(now, event)
        return
      default:
        exhaustive(event)
    }
  }

  #lead(now: number, { term, table }: EventOf<DispatchEventKind.Lead>): void {
    const core = this.#core
    if (core.term !== undefined) this.#stepDown(now)
    core.term = term
    core.earlierLeadersUntil = now
    core.hasDirectory = false
    core.confirmedAt = -Infinity
    core.table = table ?? core.table
    core.endpoints.beginTerm()
    for (const endpoint of core.endpoints.all()) {
      endpoint.reset()
      this.#spread(now, endpoint)
    }
    core.log('leads', { term, routing: core.table?.version ?? 0 })
    this.#leases.tick(now)
  }

  #noteEarlierLeaders(event: EventOf<DispatchEventKind.EarlierLeaders>): void {
    const core = this.#core
    if (event.term !== core.term) return
    core.earlierLeadersUntil = Math.min(core.earlierLeadersUntil, event.followedUntil)
    this.#scheduler.wake()
  }

  #stepDown(now: number): void {
    const core = this.#core
    if (core.term === undefined) return
    this.#lifecycle.crashes.handOver(now)
    core.log('leads no more', { term: core.term, openJobs: this.openJobs })
    this.#lifecycle.clear()
    this.#requests.clear()
    core.term = undefined
    for (const endpoint of core.endpoints.all()) endpoint.reset()
  }

  #onNotice(now: number, notice: EndpointNotice): void {
    for (const endpoint of this.#core.endpoints.namedBy(notice)) {
      const isNamed = endpoint === notice.endpoint
      this.#onNoticeOfLife(now, isNamed ? notice : { ...notice, endpoint })
    }
  }

  #onNoticeOfLife(now: number, notice: EndpointNotice): void {
    const known = this.#core.endpoints.get(notice.endpoint)
    const before = known?.notice.state
    const endpoint = this.#core.endpoints.take(now, notice)
    if (endpoint === undefined) {
      if (known !== undefined) this.#logDroppedLeave(known, notice)
      return
    }
    if (known === undefined && this.leads) this.#onNewLife(now, endpoint)
    if (before !== notice.state) {
      this.#core.log('an endpoint changed its state', {
        endpoint: notice.endpoint,
        address: notice.address,
        state: NoticeState[notice.state],
        sequence: notice.sequence,
        ageMs: Math.round(notice.ageMs),
      })
    }
    // What was given up as silent speaks again.
    if (endpoint.unanswered > 0) endpoint.nextHoldAt = Math.min(endpoint.nextHoldAt, now)
    this.#leases.ask(now, endpoint)
  }

  #onNewLife(now: number, endpoint: EndpointRecord): void {
    this.#spread(now, endpoint)
    for (const earlier of this.#core.endpoints.otherLives(endpoint)) this.#leases.look(now, earlier)
  }

  /** An endpoint that leaves must not get tasks, so that such a word is not dropped in silence. */
  #logDroppedLeave(known: EndpointRecord, notice: EndpointNotice): void {
    const { state, sequence, address } = notice
    if (state !== NoticeState.LEAVING || known.notice.state !== NoticeState.SERVING) return
    this.#core.log('a word that an endpoint leaves was not taken', {
      endpoint: known.id,
      address,
      sequence,
      knownAddress: known.notice.address,
      knownSequence: known.notice.sequence,
    })
  }

  /** All who may lead get to know it before anything is started there. */
  #spread(now: number, endpoint: EndpointRecord): void {
    endpoint.spreadAt = now
    this.#core.emit({ kind: DispatchActionKind.Spread, notice: endpoint.noticeAt(now) })
  }

  #forgetEndpoints(now: number): void {
    this.#forgetDueAt = now + FORGET_EVERY_MS
    const { endpoints } = this.#core
    for (const endpoint of [...endpoints.all()]) {
      if (!endpoints.isForgettable(now, endpoint)) continue
      if (this.leads) this.#lifecycle.unlisted.onForgotten(now, endpoint)
      endpoints.remove(endpoint)
    }
    this.#scheduler.refresh(now)
  }
}
