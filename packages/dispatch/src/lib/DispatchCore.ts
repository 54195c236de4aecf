import {
  AlwaysHealthy,
  CountedCrashAttribution,
  DecayedScoreHealth,
  DeclaredEstimator,
  EVEN_SPREAD,
  LearnedEstimator,
  NoCrashAttribution,
  PooledSpeeds,
  SlownessTracker,
} from '@cherryhitch/policy'
import type {
  EndpointHealth,
  EndpointSpeeds,
  EstimateSubject,
  RunTimeEstimator,
  SpeedSpread,
} from '@cherryhitch/policy'
import { makeEndpointOrder, makeJobOutcome } from '@cherryhitch/protocol'
import type {
  EndpointOrder,
  JobOutcome,
  JobVerdict,
  Route,
  RoutingTable,
} from '@cherryhitch/protocol'
import { DispatchActionKind } from './DispatchAction'
import type { DispatchAction } from './DispatchAction'
import { defaultDispatchTiming } from './DispatchOptions'
import type { DispatchOptions, DispatchTiming } from './DispatchOptions'
import { Mechanism } from '@cherryhitch/model'
import { LossLedger } from './crashes/LossLedger'
import { EndpointRegistry } from './endpoints/EndpointRegistry'
import type { EndpointRecord } from './endpoints/EndpointRecord'
import { LateOutcomes } from './scheduling/LateOutcomes'
import { makeFencingToken } from './endpoints/fencingToken'
import type { JobWaiter } from './jobs/Job'

/** Order ids wrap around after this many; the earlier orders were answered long before. */
const ORDER_ID_RANGE = 2 ** 32

/**
 * Counters of the dispatcher, which only increase; their names are exported as metrics.
 *
 * @internal
 */
export interface DispatchCounters {
  jobs_taken: number
  jobs_completed: number
  jobs_failed: number
  jobs_refused: number
  refused_at_door: number
  /** Those of them that were beyond the share of their queue. */
  refused_by_share: number
  /** New jobs admitted for late service, admitted ones that fell behind, and late ones given up. */
  late_admitted: number
  late_fallen_behind: number
  late_given_up: number
  /** Late jobs that were completed. */
  late_completed: number
  /** Refused because this instance lagged behind in its event processing. */
  refused_busy: number
  jobs_unknown: number
  /**
   * Jobs that only the list of an earlier leader shows to be resumed, and those of which it couldn't
   * be told at once.
   */
  jobs_found_listed: number
  jobs_of_unknown_origin: number
  starts: number
  starts_unanswered: number
  starts_rejected: number
  runs_done: number
  runs_failed: number
  runs_lost: number
  /** Runs that took far longer than estimated and were stopped, and those that were continued. */
  overruns_stopped: number
  overruns_kept: number
  /**
   * Endpoints lost while tasks ran there, and those of them that restarted as a new incarnation.
   */
  endpoints_lost: number
  endpoints_crashed: number
  /**
   * Jobs given up because one of their tasks crashes endpoints, and jobs held while that is
   * decided.
   */
  jobs_blamed: number
  jobs_held: number
  /** Tasks of earlier leaders that may have run at endpoints that are gone. */
  tasks_doubted: number
  stops: number
  holds: number
  holds_missed: number
  looks: number
  starts_repeated: number
  /** Scheduling rounds with at least one waiting job. */
  rounds: number
  /** Waiting jobs ranked in these rounds. */
  jobs_ranked: number
  /** Endpoints examined in these rounds. */
  endpoints_visited: number
  /** Slots assigned in admission forecasts. */
  places_forecast: number
  /** Entries of what was learnt that this instance sent as leader. */
  hints_sent: number
  /** Entries that other leaders sent: stored, known better, and unusable. */
  hints_stored: number
  hints_outdated: number
  hints_dropped: number
  /** Entries that this instance started from when it became leader. */
  hints_taken_over: number
  /**
   * Starts at endpoints faster than average and others, and waits of a task in a round for a faster
   * endpoint than the free ones, where endpoints differ much in speed.
   */
  starts_fast: number
  starts_slow: number
  waits_for_faster: number
}

/** State shared by all parts of the dispatcher, and the actions of the current step. @internal */
export class DispatchCore {
  readonly timing: DispatchTiming
  readonly endpoints: EndpointRegistry
  readonly estimator: RunTimeEstimator
  readonly slowness: EndpointSpeeds
  readonly health: EndpointHealth
  readonly losses: LossLedger
  readonly lateOutcomes = new LateOutcomes()
  readonly counters: DispatchCounters = {
    jobs_taken: 0,
    jobs_completed: 0,
    jobs_failed: 0,
    jobs_refused: 0,
    refused_at_door: 0,
    refused_by_share: 0,
    late_admitted: 0,
    late_fallen_behind: 0,
    late_given_up: 0,
    late_completed: 0,
    refused_busy: 0,
    jobs_unknown: 0,
    jobs_found_listed: 0,
    jobs_of_unknown_origin: 0,
    starts: 0,
    starts_unanswered: 0,
    starts_rejected: 0,
    runs_done: 0,
    runs_failed: 0,
    runs_lost: 0,
    overruns_stopped: 0,
    overruns_kept: 0,
    endpoints_lost: 0,
    endpoints_crashed: 0,
    jobs_blamed: 0,
    jobs_held: 0,
    tasks_doubted: 0,
    stops: 0,
    holds: 0,
    holds_missed: 0,
    looks: 0,
    starts_repeated: 0,
    rounds: 0,
    jobs_ranked: 0,
    endpoints_visited: 0,
    places_forecast: 0,
    hints_sent: 0,
    hints_stored: 0,
    hints_outdated: 0,
    hints_dropped: 0,
    hints_taken_over: 0,
    starts_fast: 0,
    starts_slow: 0,
    waits_for_faster: 0,
  }
  /** Term in which this instance is leader; undefined if it is not. */
  term: number | undefined
  /** Whether zones that are cut off may serve alone, so that fencing tokens contain grants. */
  readonly hasZoneDispatchers: boolean
  /** The availability zone that this instance serves alone; undefined for a leader. */
  zone: string | undefined
  /** Upper bound on the time at which a majority last confirmed an earlier leader. */
  earlierLeadersConfirmedUntil = 0
  /** True once a majority of the voters has sent this leader all endpoints that they know. */
  hasDirectory = false
  /** When a majority last confirmed this leader. */
  confirmedAt = -Infinity
  /** When an order to any endpoint was last considered lost. */
  lastLostOrderAt = -Infinity
  table: RoutingTable | undefined
  /** Availability zones in which no tasks are started. */
  drainedZones: ReadonlySet<string> = new Set()
  readonly #disabled: ReadonlySet<Mechanism>
  #actions: DispatchAction[] = []
  #lastOrderId = 0

  constructor(options: DispatchOptions) {
    this.timing = { ...defaultDispatchTiming, ...options.timing }
    this.#disabled = new Set(options.without)
    this.hasZoneDispatchers = options.hasZoneDispatchers === true
    if (!this.isEnabled(Mechanism.AdaptiveTimeouts)) {
      this.timing = { ...this.timing, minAnswerTimeoutMs: this.timing.maxAnswerTimeoutMs }
    }
    this.estimator = this.isEnabled(Mechanism.LearnedEstimates)
      ? new LearnedEstimator()
      : new DeclaredEstimator()
    this.health = this.isEnabled(Mechanism.Health) ? new DecayedScoreHealth() : new AlwaysHealthy()
    const blame = this.isEnabled(Mechanism.CrashAttribution)
      ? new CountedCrashAttribution()
      : new NoCrashAttribution()
    this.losses = new LossLedger(blame, this.timing.verdictRetentionMs)
    this.slowness = this.isEnabled(Mechanism.UnevenEndpoints)
      ? new PooledSpeeds()
      : new SlownessTracker()
    this.endpoints = new EndpointRegistry(this.timing, this.health, this.slowness)
  }

  /** Whether a mechanism is enabled. */
  isEnabled(mechanism: Mechanism): boolean {
    return !this.#disabled.has(mechanism)
  }

  /** Whether jobs that can't be in time may be served late; admission decides that. */
  get hasLateService(): boolean {
    return this.isEnabled(Mechanism.LateService) && this.isEnabled(Mechanism.Admission)
  }

  /** Local time at which all orders of this leader expire, unless a majority confirms it again. */
  get ordersExpireAt(): number {
    return this.confirmedAt + this.timing.leaderLeaseMs
  }

  /** Whether this instance gives orders to an endpoint when it dispatches. */
  serves({ notice }: EndpointRecord): boolean {
    return this.zone === undefined || notice.zone === this.zone
  }

  /**
   * Whether runs of other holders are to end at an endpoint: they count on the end of its lease, so
   * it isn't renewed, and nothing starts beside them.
   */
  awaitsOtherRuns(endpoint: EndpointRecord): boolean {
    if (this.zone === undefined && endpoint.grant === 0) return false
    return !endpoint.isSynced || endpoint.hasForeignRun
  }

  /** Ratio of run times at an endpoint to those of the same work at its peers. */
  slownessOf(now: number, endpoint: EndpointRecord): number {
    if (!this.isEnabled(Mechanism.Slowness)) return 1
    return endpoint.slowness(now, () => this.slowness.slowness(now, endpoint.id))
  }

  /** How much the endpoints of a service differ in speed. */
  speedSpread(now: number, service: string): SpeedSpread {
    return this.isEnabled(Mechanism.Slowness) ? this.slowness.spread(now, service) : EVEN_SPREAD
  }

  /** Whether an operator has drained the availability zone of an endpoint. */
  isInDrainedZone({ notice }: EndpointRecord): boolean {
    return this.drainedZones.has(notice.zone)
  }

  emit(action: DispatchAction): void {
    this.#actions.push(action)
  }

  /**
   * Sends an order to an endpoint, with the fencing token for this leader and this incarnation of
   * the endpoint.
   *
   * @returns the id of the order, which its answer repeats
   */
  sendOrder(now: number, target: EndpointRecord, body: OrderBody): number {
    const { id: endpoint, notice, incarnationNumber, grant } = target
    const { address, zone } = notice
    this.#lastOrderId = (this.#lastOrderId + 1) % ORDER_ID_RANGE
    const order = makeEndpointOrder({
      id: this.#lastOrderId,
      endpoint,
      address,
      fencingToken: makeFencingToken(
        this.term ?? 0,
        incarnationNumber,
        this.hasZoneDispatchers ? grant : undefined,
      ),
      timeoutMs: body.timeoutMs,
      order: body.order,
    })
    this.emit({ kind: DispatchActionKind.Order, order, zone, sentAt: now })
    return order.id
  }

  log(message: string, fields: Readonly<Record<string, unknown>>): void {
    this.emit({ kind: DispatchActionKind.Log, message, fields })
  }

  answer(waiter: JobWaiter, verdict: JobVerdict, more: OutcomeFields = {}): void {
    const { instance, requestId, routingVersion } = waiter
    const term = this.term ?? 0
    const outcome = makeJobOutcome({ requestId, verdict, term, routingVersion, ...more })
    this.emit({ kind: DispatchActionKind.Answer, to: instance, outcome })
  }

  takeActions(): readonly DispatchAction[] {
    const actions = this.#actions
    this.#actions = []
    return actions
  }
}

/** Contents of an order besides its destination. @internal */
export type OrderBody = Pick<EndpointOrder, 'order' | 'timeoutMs'>

/** Optional fields of a job outcome besides its verdict. @internal */
export type OutcomeFields = Partial<Pick<JobOutcome, 'reason' | 'retryAfterMs' | 'pending'>>

/**
 * Key under which run times are learned: tasks of the same route are taken to be alike.
 *
 * @internal
 */
export function estimateSubject(route: Route, declaredMs: number): EstimateSubject {
  return { caller: route.name, service: route.service, declaredMs }
}
