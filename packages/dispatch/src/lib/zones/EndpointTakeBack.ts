import type { DispatchCore } from '../DispatchCore'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { nextLeaderGrant } from './ZoneToken'
import type { ZoneToken } from './ZoneToken'

/**
 * Time for which a leader leaves an endpoint to the zone dispatcher that it obeys, in milliseconds:
 * the zone dispatcher finishes its jobs after a cut, and tells the leader.
 */
const TAKE_BACK_MS = 3_000

/**
 * Takes back the endpoints of a zone that was served alone: a leader of the same term needs a
 * higher token than the zone dispatcher had.
 *
 * @internal
 */
export class EndpointTakeBack {
  constructor(private readonly core: DispatchCore) {}

  onZoneServiceEnded({ zone, term, grant }: ZoneToken & { readonly zone: string }): void {
    const { core } = this
    if (!core.hasZoneDispatchers || core.term !== term || core.zone !== undefined) return
    for (const endpoint of core.endpoints.all()) {
      if (endpoint.notice.zone === zone) this.#request(endpoint, nextLeaderGrant(grant))
    }
  }

  tick(now: number): void {
    if (!this.core.hasZoneDispatchers || this.core.zone !== undefined) return
    for (const endpoint of this.core.endpoints.all()) this.#check(now, endpoint)
  }

  #check(now: number, endpoint: EndpointRecord): void {
    const { fencedSince, grant } = endpoint
    if (fencedSince !== undefined && now - fencedSince >= TAKE_BACK_MS) {
      endpoint.fencedSince = undefined
      this.#request(endpoint, nextLeaderGrant(grant))
    }
    const { nextGrant } = endpoint
    // The leader's own runs there lapse first, and then count as lost.
    if (nextGrant === undefined || endpoint.runs.size > 0) return
    endpoint.nextGrant = undefined
    endpoint.grant = nextGrant
    endpoint.reset()
    const { id, notice } = endpoint
    const { term } = this.core
    this.core.log('endpoint taken back', {
      endpoint: id,
      zone: notice.zone,
      term,
      grant: nextGrant,
    })
  }

  #request(endpoint: EndpointRecord, grant: number): void {
    if (grant > endpoint.grant) endpoint.nextGrant = Math.max(endpoint.nextGrant ?? 0, grant)
  }
}
