import { HealthState } from '@cherryhitch/policy'
import { NoticeState } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { AvailableEndpoints } from './AvailableEndpoints'
import { RunEnds } from './RunEnds'
import { SlotClassCounts } from './SlotClassCounts'
import { SPEED_CLASSES } from './speedClasses'

/** How the scheduler can use an endpoint. */
enum EndpointUse {
  /** It can receive tasks. */
  Available = 'open',
  /** It can't receive tasks now, but is expected to within the horizon of a forecast. */
  Expected = 'expected',
  Excluded = 'out',
}

/** Interval at which the slowness of all endpoints is read while they differ, in milliseconds. */
const SLOWNESS_REFRESH_MS = 100

/** The endpoints of one service, indexed for placement and forecasts. @internal */
export class ServiceEndpoints {
  readonly available = new AvailableEndpoints()
  /** Endpoints that can't receive tasks now, but whose slots are included in forecasts. */
  readonly expected = new Set<EndpointRecord>()
  readonly runEnds = new RunEnds()

  /** Reused by forecasts, so that they don't allocate. */
  readonly slotsByClass = Array.from({ length: SPEED_CLASSES }, () => new SlotClassCounts())
  #isUneven = false
  #slownessReadAt = -Infinity

  constructor(
    private readonly core: DispatchCore,
    private readonly service: string,
  ) {}

  /** Whether the endpoints differ so much in speed that it matters where a task runs. */
  get isUneven(): boolean {
    return this.#isUneven
  }

  /** Updates what depends on the speeds of all endpoints together. */
  refreshSpeeds(now: number): void {
    const { isUneven, slowToFast } = this.core.speedSpread(now, this.service)
    if (isUneven !== this.#isUneven) {
      this.#isUneven = isUneven
      this.#slownessReadAt = -Infinity
      this.core.log(
        isUneven ? 'endpoints differ much in speed' : 'endpoints no longer differ much in speed',
        { service: this.service, slowToFast: Number(slowToFast.toFixed(2)) },
      )
      this.#noteChanges()
    }
    if (!isUneven || now - this.#slownessReadAt < SLOWNESS_REFRESH_MS) return
    this.#slownessReadAt = now
    this.available.refreshSlowness((endpoint) => this.core.slownessOf(now, endpoint))
  }

  /** Has all indexes updated, in which the speeds of endpoints count from now on or no longer. */
  #noteChanges(): void {
    for (const endpoint of this.core.endpoints.all()) {
      if (endpoint.service === this.service) endpoint.noteChange()
    }
  }

  /** Ratio of run times at an endpoint to those at its peers. */
  slownessOf(now: number, endpoint: EndpointRecord): number {
    return this.core.slownessOf(now, endpoint)
  }

  /**
   * Updates the indexes for an endpoint that may have changed.
   *
   * @returns true when its use can change by the passing of time alone
   */
  refresh(now: number, endpoint: EndpointRecord): boolean {
    const { core } = this
    const health = core.health.state(now, endpoint.id)
    const use = useOf(now, core, endpoint, health)
    if (use === EndpointUse.Available && endpoint.freeCapacity().cpuMillis > 0) {
      this.available.set({ endpoint, health, slowness: core.slownessOf(now, endpoint) })
    } else {
      this.available.delete(endpoint)
    }
    if (use === EndpointUse.Expected) this.expected.add(endpoint)
    else this.expected.delete(endpoint)
    const isCounted = use !== EndpointUse.Excluded && health === HealthState.Healthy
    if (isCounted) this.runEnds.set(endpoint, this.#isUneven ? core.slownessOf(now, endpoint) : 1)
    else this.runEnds.delete(endpoint)
    const isHeldBack = now < endpoint.pausedUntil || core.confirmedAt < endpoint.broadcastAt
    return health !== HealthState.Healthy || isHeldBack
  }

  delete(endpoint: EndpointRecord): void {
    this.available.delete(endpoint)
    this.expected.delete(endpoint)
    this.runEnds.delete(endpoint)
  }
}

function useOf(
  now: number,
  core: DispatchCore,
  endpoint: EndpointRecord,
  health: HealthState,
): EndpointUse {
  const { notice, isReplaced, unanswered, runs, broadcastAt } = endpoint
  if (notice.state !== NoticeState.SERVING || isReplaced) return EndpointUse.Excluded
  if (core.isInDrainedZone(endpoint) || !core.serves(endpoint)) return EndpointUse.Excluded
  // After one call without an answer the endpoint still counts: a single answer may have been lost.
  if (unanswered > 1 || health === HealthState.Ejected) return EndpointUse.Excluded
  // An endpoint on probation gets one task at a time.
  const isTrusted = health === HealthState.Healthy || runs.size === 0
  // The next leader must be able to learn of the endpoint from any majority, so a majority must
  // have confirmed this leader since the endpoint's notice was last broadcast.
  // A zone dispatcher's jobs are never sent on to a leader.
  const isKnown = core.zone !== undefined || core.confirmedAt >= broadcastAt
  // Tasks beside a suspect one could be lost with it, and would become suspects as well.
  const hasNoSuspect = !endpoint.hasSuspectTask && !core.awaitsOtherRuns(endpoint)
  if (isTrusted && isKnown && hasNoSuspect && endpoint.mayStart(now)) return EndpointUse.Available
  return health === HealthState.Healthy ? EndpointUse.Expected : EndpointUse.Excluded
}
