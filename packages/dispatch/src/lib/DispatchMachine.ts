import { exhaustive, Mechanism } from '@cherryhitch/model'
import { NoticeState } from '@cherryhitch/protocol'
import type { EndpointNotice } from '@cherryhitch/protocol'
import { StateMachine } from '@cherryhitch/runtime'
import type { LossUpdate } from './crashes/LossUpdate'
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
import { EndpointTakeBack } from './zones/EndpointTakeBack'
import { JobLifecycle } from './jobs/JobLifecycle'
import { RequestHandler } from './jobs/RequestHandler'
import { KnowledgeExchange } from './knowledge/KnowledgeExchange'
import type { LearntSamples } from './knowledge/LearntSamples'
import { AnswerHandler } from './orders/AnswerHandler'
import { ForecastAdmission } from './scheduling/ForecastAdmission'
import type { JobAdmission } from './scheduling/JobAdmission'
import { FifoPolicy, LeastSlackPolicy } from './scheduling/QueuePolicy'
import type { QueuePolicy } from './scheduling/QueuePolicy'
import type { LeaderJobs } from './takeover/EarlierJobs'
import { NoShares, PriorityShares } from './scheduling/QueueShares'
import { UnconditionalAdmission } from './scheduling/UnconditionalAdmission'
import { Scheduler } from './scheduling/Scheduler'

/** Interval of the search for expired endpoints, in milliseconds; they expire after seconds. */
const EXPIRY_CHECK_INTERVAL_MS = 200

type EventOf<K extends DispatchEventKind> = Extract<DispatchEvent, { kind: K }>

/** Messages of entries. */
type EntryEvent = EventOf<
  | DispatchEventKind.SubmitJob
  | DispatchEventKind.QueryJob
  | DispatchEventKind.AbandonJob
  | DispatchEventKind.UnansweredJobs
>

/**
 * State machine of the dispatcher. As leader, it queues jobs, places their tasks on endpoints,
 * tracks their runs and answers callers. Otherwise it only maintains the directory of endpoints.
 *
 * The endpoints' own reports are authoritative for which tasks run. Every order carries the
 * leader's term as a fencing token and expires by the endpoint's clock, so that neither an old
 * leader nor a delayed order can start a task a second time.
 *
 * @public
 */
export class DispatchMachine extends StateMachine<DispatchEvent, DispatchAction> {
  readonly #core: DispatchCore
  readonly #knowledge: KnowledgeExchange
  readonly #leases: LeaseLoop
  readonly #lifecycle: JobLifecycle
  readonly #requests: RequestHandler
  readonly #answers: AnswerHandler
  readonly #scheduler: Scheduler
  readonly #intake = new IntakeLimit()
  readonly #takeBack: EndpointTakeBack
  #expiryCheckDueAt = -Infinity

  constructor(options: DispatchOptions) {
    super()
    this.#core = new DispatchCore(options)
    this.#knowledge = new KnowledgeExchange(this.#core)
    this.#leases = new LeaseLoop(this.#core)
    this.#takeBack = new EndpointTakeBack(this.#core)
    const wake = (): void => {
      this.#scheduler.wake()
    }
    this.#lifecycle = new JobLifecycle(this.#core, this.#leases, wake)
    const { jobs, runs } = this.#lifecycle
    this.#requests = new RequestHandler(this.#core, this.#lifecycle, this.#intake)
    this.#answers = new AnswerHandler(this.#core, this.#leases, this.#lifecycle, wake)
    const queuePolicy = options.order ?? this.#defaultQueuePolicy()
    const admission = options.admission ?? this.#defaultAdmission()
    this.#scheduler = new Scheduler(this.#core, {
      jobs,
      runs,
      queuePolicy,
      admission,
      shares: this.#core.isEnabled(Mechanism.PriorityShares)
        ? new PriorityShares()
        : new NoShares(),
      unlisted: this.#lifecycle.unlisted,
      refuse: (now, refused) => {
        this.#lifecycle.refuseByAdmission(now, refused)
      },
    })
  }

  #defaultQueuePolicy(): QueuePolicy {
    if (!this.#core.isEnabled(Mechanism.QueuePolicy)) return new FifoPolicy()
    return new LeastSlackPolicy({
      inProgressFirst: this.#core.isEnabled(Mechanism.InProgressFirst),
    })
  }

  #defaultAdmission(): JobAdmission {
    if (!this.#core.isEnabled(Mechanism.Admission)) return new UnconditionalAdmission()
    const { hasLateService, lateOutcomes } = this.#core
    return new ForecastAdmission(hasLateService ? { lateOutcomes } : {})
  }

  get counters(): Readonly<DispatchCounters> {
    return this.#core.counters
  }

  get openJobs(): number {
    return this.#lifecycle.jobs.size
  }

  /** Number of known endpoints in any state. */
  get endpoints(): number {
    return this.#core.endpoints.size
  }

  /** Whether an endpoint has announced itself and has not expired. */
  hasEndpoint(endpoint: string): boolean {
    return this.#core.endpoints.get(endpoint) !== undefined
  }

  /** Whether a notice changes what is known of an endpoint, besides that it is still alive. */
  changesEndpoint(notice: EndpointNotice): boolean {
    return this.#core.endpoints.get(notice.endpoint)?.differsFrom(notice) ?? true
  }

  /** Whether this instance starts no more tasks at an endpoint after handling its leave notice. */
  honorsLeaving(notice: EndpointNotice): boolean {
    return this.#core.endpoints.honorsLeaving(notice)
  }

  get leads(): boolean {
    return this.#core.term !== undefined
  }

  /** The zone that this instance serves alone; undefined if it leads, or does neither. */
  get zone(): string | undefined {
    return this.#core.zone
  }

  /** Notices of all known endpoints, for another instance. */
  notices(now: number): EndpointNotice[] {
    return this.#core.endpoints.notices(now)
  }

  /** Report on endpoints that were lost while tasks ran there, for another instance. */
  losses(now: number): LossUpdate {
    return this.#core.losses.all(now)
  }

  /** What this instance has heard from leaders, with present ages. */
  heardHints(now: number): LearntSamples {
    return this.#knowledge.heard(now)
  }

  /** Number of changes to what is known of lost endpoints so far. */
  get lossRevision(): number {
    return this.#core.losses.changes
  }

  override step(now: number, event: DispatchEvent): readonly DispatchAction[] {
    this.#handle(now, event)
    return this.#placeAndTakeActions(now)
  }

  /** Handles events that arrived together, with one scheduling round for all. */
  override stepAll(now: number, events: readonly DispatchEvent[]): readonly DispatchAction[] {
    for (const event of events) this.#handle(now, event)
    return this.#placeAndTakeActions(now)
  }

  override tick(now: number): readonly DispatchAction[] {
    // Lost endpoints have to be examined before they are removed.
    if (this.leads) this.#lifecycle.crashes.tick(now)
    if (now >= this.#expiryCheckDueAt) this.#removeExpiredEndpoints(now)
    if (this.leads) {
      this.#takeBack.tick(now)
      this.#leases.tick(now)
      this.#lifecycle.tick(now)
      this.#requests.tick(now)
      this.#knowledge.tick(now)
      this.#scheduler.wake()
    }
    return this.#placeAndTakeActions(now)
  }

  override recordStep(_now: number, behindMs: number): void {
    this.#intake.recordStep(behindMs)
  }

  /** An instance that isn't leader only has to remove expired endpoints. */
  override get tickDueAt(): number {
    return this.leads ? -Infinity : this.#expiryCheckDueAt
  }

  #placeAndTakeActions(now: number): readonly DispatchAction[] {
    this.#lifecycle.findUnlistedTasks(now)
    this.#scheduler.run(now)
    return this.#core.takeActions()
  }

  #handle(now: number, event: DispatchEvent): void {
    switch (event.kind) {
      case DispatchEventKind.BecomeLeader:
        this.#becomeLeader(now, event)
        return
      case DispatchEventKind.BecomeZoneDispatcher:
        this.#becomeZoneDispatcher(now, event)
        return
      case DispatchEventKind.StepDown:
        this.#stepDown(now)
        return
      case DispatchEventKind.ZoneServiceEnded:
        this.#takeBack.onZoneServiceEnded(event)
        return
      case DispatchEventKind.DirectoryComplete:
        if (event.term === this.#core.term) this.#core.hasDirectory = true
        return
      case DispatchEventKind.EarlierLeadersConfirmed:
        this.#noteEarlierLeaders(event)
        return
      case DispatchEventKind.LeadershipConfirmed:
        this.#core.confirmedAt = event.at
        this.#requests.onConfirmed(event.at)
        return
      case DispatchEventKind.Routing:
        this.#core.table = event.table
        return
      case DispatchEventKind.DrainedZones:
        this.#setDrainedZones(now, event.zones)
        return
      case DispatchEventKind.Notice:
        this.#onNotice(now, event.notice)
        return
      case DispatchEventKind.EndpointLosses:
        this.#lifecycle.crashes.onUpdate(now, event.losses)
        return
      case DispatchEventKind.LeaderHints:
        this.#knowledge.onHints(now, event.hints)
        return
      case DispatchEventKind.ReadOpenJobs:
        this.#reportOpenJobs(now, event)
        return
      case DispatchEventKind.OpenJobs:
        this.#lifecycle.jobs.earlierJobs.onReport(event.openJobs)
        return
      case DispatchEventKind.SubmitJob:
      case DispatchEventKind.QueryJob:
      case DispatchEventKind.AbandonJob:
      case DispatchEventKind.UnansweredJobs:
        this.#handleRequest(now, event)
        return
      case DispatchEventKind.OrderAnswered:
        this.#answers.handle(now, event)
        return
      default:
        exhaustive(event)
    }
  }

  /** Handles what an entry sends for its callers. */
  #handleRequest(now: number, event: EntryEvent): void {
    switch (event.kind) {
      case DispatchEventKind.SubmitJob:
        this.#requests.submit(now, event.from, event.req)
        this.#scheduler.wake()
        return
      case DispatchEventKind.QueryJob:
        this.#requests.ask(now, event.from, event.req)
        return
      case DispatchEventKind.AbandonJob:
        this.#requests.abandon(now, event.from, event.req)
        return
      case DispatchEventKind.UnansweredJobs:
        this.#lifecycle.unlisted.onUnansweredJobs(now, event.req.jobs)
        return
      default:
        exhaustive(event)
    }
  }

  #becomeLeader(now: number, event: EventOf<DispatchEventKind.BecomeLeader>): void {
    const { term, table, drainedZones } = event
    const core = this.#core
    if (core.term !== undefined) this.#stepDown(now)
    core.term = term
    core.earlierLeadersConfirmedUntil = now
    core.hasDirectory = false
    core.confirmedAt = -Infinity
    core.table = table ?? core.table
    this.#setDrainedZones(now, drainedZones)
    core.endpoints.beginTerm()
    this.#knowledge.takeOver(now)
    for (const endpoint of core.endpoints.all()) {
      endpoint.reset()
      this.#broadcast(now, endpoint)
    }
    const earlierJobs = this.#lifecycle.jobs.earlierJobs.summary(now)
    core.log('became leader', { term, routing: core.table?.version ?? 0, ...earlierJobs })
    this.#leases.tick(now)
  }

  #becomeZoneDispatcher(
    now: number,
    { term, grant, zone, table, drainedZones }: EventOf<DispatchEventKind.BecomeZoneDispatcher>,
  ): void {
    const core = this.#core
    if (core.term !== undefined) this.#stepDown(now)
    core.term = term
    core.zone = zone
    core.table = table ?? core.table
    this.#setDrainedZones(now, drainedZones)
    core.earlierLeadersConfirmedUntil = now
    core.hasDirectory = false
    core.endpoints.beginTerm(grant)
    for (const endpoint of core.endpoints.all()) endpoint.reset()
    core.log('zone dispatching begins', { zone, term, grant, routing: core.table?.version ?? 0 })
    this.#leases.tick(now)
  }

  /** Runs in a drained zone go on; only new starts are excluded. */
  #setDrainedZones(now: number, zones: ReadonlySet<string>): void {
    const core = this.#core
    const before = core.drainedZones
    if (zones.size === before.size && [...zones].every((zone) => before.has(zone))) return
    core.drainedZones = zones
    for (const endpoint of core.endpoints.all()) endpoint.noteChange()
    core.log('drained availability zones changed', { zones: [...zones], leads: this.leads })
    if (!this.leads) return
    this.#lifecycle.refuseInDrainedServices(now)
    this.#scheduler.wake()
  }

  get #leaderJobs(): LeaderJobs {
    const { jobs, runs } = this.#lifecycle
    return { jobs: jobs.all(), foreignRuns: runs.foreign }
  }

  #reportOpenJobs(now: number, { from, req }: EventOf<DispatchEventKind.ReadOpenJobs>): void {
    if (this.#core.term === undefined || this.#core.zone !== undefined) return
    const openJobs = this.#lifecycle.jobs.earlierJobs.report(now, req, this.#leaderJobs)
    this.#core.emit({ kind: DispatchActionKind.SendOpenJobs, to: from, openJobs })
  }

  #noteEarlierLeaders(event: EventOf<DispatchEventKind.EarlierLeadersConfirmed>): void {
    const core = this.#core
    if (event.term !== core.term) return
    core.earlierLeadersConfirmedUntil = Math.min(
      core.earlierLeadersConfirmedUntil,
      event.confirmedUntil,
    )
    this.#scheduler.wake()
  }

  #stepDown(now: number): void {
    const core = this.#core
    if (core.term === undefined) return
    this.#lifecycle.crashes.handOver(now)
    const { term, zone } = core
    if (zone === undefined) {
      this.#lifecycle.jobs.earlierJobs.onStepDown(now, this.#leaderJobs)
      core.log('stepped down as leader', { term, openJobs: this.openJobs })
    } else {
      core.log('zone dispatching ends', { zone, term, openJobs: this.openJobs })
    }
    this.#lifecycle.clear()
    this.#requests.clear()
    core.term = undefined
    core.zone = undefined
    for (const endpoint of core.endpoints.all()) endpoint.reset()
  }

  #onNotice(now: number, notice: EndpointNotice): void {
    for (const endpoint of this.#core.endpoints.endpointIdsOf(notice)) {
      const isNamed = endpoint === notice.endpoint
      this.#applyNotice(now, isNamed ? notice : { ...notice, endpoint })
    }
  }

  #applyNotice(now: number, notice: EndpointNotice): void {
    const known = this.#core.endpoints.get(notice.endpoint)
    const before = known?.notice.state
    const endpoint = this.#core.endpoints.applyNotice(now, notice)
    if (endpoint === undefined) {
      if (known !== undefined) this.#logIgnoredLeave(known, notice)
      return
    }
    if (known === undefined && this.leads) this.#onNewIncarnation(now, endpoint)
    if (before !== notice.state) {
      this.#core.log('endpoint state changed', {
        endpoint: notice.endpoint,
        address: notice.address,
        state: NoticeState[notice.state],
        sequence: notice.sequence,
        ageMs: Math.round(notice.ageMs),
      })
    }
    // The endpoint had stopped answering and has sent a notice again: retry without delay.
    if (endpoint.unanswered > 0) endpoint.nextHoldAt = Math.min(endpoint.nextHoldAt, now)
    this.#leases.openHold(now, endpoint)
  }

  #onNewIncarnation(now: number, endpoint: EndpointRecord): void {
    this.#knowledge.onNewEndpoint(now, endpoint)
    this.#broadcast(now, endpoint)
    for (const earlier of this.#core.endpoints.otherIncarnations(endpoint))
      this.#leases.pollNow(now, earlier)
  }

  /** Logs an ignored leave notice, since an endpoint that leaves must not get any more tasks. */
  #logIgnoredLeave(known: EndpointRecord, notice: EndpointNotice): void {
    const { state, sequence, address } = notice
    if (state !== NoticeState.LEAVING || known.notice.state !== NoticeState.SERVING) return
    this.#core.log('leave notice of an endpoint was ignored', {
      endpoint: known.id,
      address,
      sequence,
      knownAddress: known.notice.address,
      knownSequence: known.notice.sequence,
    })
  }

  /**
   * Broadcasts an endpoint to all instances that may become leader, before any task starts there.
   */
  #broadcast(now: number, endpoint: EndpointRecord): void {
    endpoint.broadcastAt = now
    this.#core.emit({ kind: DispatchActionKind.BroadcastNotice, notice: endpoint.noticeAt(now) })
  }

  #removeExpiredEndpoints(now: number): void {
    this.#expiryCheckDueAt = now + EXPIRY_CHECK_INTERVAL_MS
    const { endpoints } = this.#core
    for (const endpoint of [...endpoints.all()]) {
      if (!endpoints.isRemovable(now, endpoint)) continue
      if (this.leads) this.#lifecycle.unlisted.onEndpointRemoved(now, endpoint)
      endpoints.remove(endpoint)
    }
    this.#scheduler.refresh(now)
  }
}
