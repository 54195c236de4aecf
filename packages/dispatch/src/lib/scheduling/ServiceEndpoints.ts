import { HealthState } from '@cherryhitch/policy'
import { NoticeState } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { AvailableEndpoints } from './AvailableEndpoints'
import { RunEnds } from './RunEnds'

/** How the scheduler can use an endpoint. */
enum EndpointUse {
  /** It can receive tasks. */
  Available = 'open',
  /** It can't receive tasks now, but is expected to within the horizon of a forecast. */
  Expected = 'expected',
  Excluded = 'out',
}

/** The endpoints of one service, indexed for placement and forecasts. @internal */
export class ServiceEndpoints {
  readonly available = new AvailableEndpoints()
  /** Endpoints that can't receive tasks now, but whose slots are included in forecasts. */
  readonly expected = new Set<EndpointRecord>()
  readonly runEnds = new RunEnds()

  constructor(private readonly core: DispatchCore) {}

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
    if (isCounted) this.runEnds.set(endpoint)
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
