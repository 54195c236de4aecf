import { HealthState } from '@cherryhitch/policy'
import { NoticeState } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { OpenEndpoints } from './OpenEndpoints'
import { RunEnds } from './RunEnds'

/** What placing may count on at an endpoint. */
enum EndpointUse {
  /** Gets tasks. */
  Open = 'open',
  /** Gets none at this moment, and is expected to within the time of a forecast. */
  Expected = 'expected',
  Out = 'out',
}

/** The endpoints of one service, as placing and forecasts ask for them. @internal */
export class ServiceEndpoints {
  readonly open = new OpenEndpoints()
  /** Those that get nothing now, but whose places are counted on. */
  readonly expected = new Set<EndpointRecord>()
  readonly ends = new RunEnds()

  constructor(private readonly core: DispatchCore) {}

  /**
   * Takes in what has become of an endpoint.
   *
   * @returns true when time alone may change what it is good for
   */
  refresh(now: number, endpoint: EndpointRecord): boolean {
    const { core } = this
    const health = core.health.state(now, endpoint.id)
    const use = useOf(now, core, endpoint, health)
    if (use === EndpointUse.Open && endpoint.freeRoom().cpuMillis > 0) {
      this.open.set({ endpoint, health, slowness: core.slownessOf(now, endpoint) })
    } else {
      this.open.delete(endpoint)
    }
    if (use === EndpointUse.Expected) this.expected.add(endpoint)
    else this.expected.delete(endpoint)
    const isCounted = use !== EndpointUse.Out && health === HealthState.Healthy
    if (isCounted) this.ends.set(endpoint)
    else this.ends.delete(endpoint)
    const isHeldBack = now < endpoint.pausedUntil || core.confirmedAt < endpoint.spreadAt
    return health !== HealthState.Healthy || isHeldBack
  }

  delete(endpoint: EndpointRecord): void {
    this.open.delete(endpoint)
    this.expected.delete(endpoint)
    this.ends.delete(endpoint)
  }
}

function useOf(
  now: number,
  core: DispatchCore,
  endpoint: EndpointRecord,
  health: HealthState,
): EndpointUse {
  const { notice, isReplaced, unanswered, runs, spreadAt } = endpoint
  if (notice.state !== NoticeState.SERVING || isReplaced) return EndpointUse.Out
  // One whose silence may be a single lost answer is counted on.
  if (unanswered > 1 || health === HealthState.Ejected) return EndpointUse.Out
  // On probation it gets one task at a time.
  const isTrusted = health === HealthState.Healthy || runs.size === 0
  // The next leader has to know of it: whoever it asks, a majority was told before this.
  const isKnown = core.confirmedAt >= spreadAt
  // Beside a suspect others would be lost with it, and be suspects as well.
  const isShared = !endpoint.hasSuspect
  if (isTrusted && isKnown && isShared && endpoint.mayStart(now)) return EndpointUse.Open
  return health === HealthState.Healthy ? EndpointUse.Expected : EndpointUse.Out
}
