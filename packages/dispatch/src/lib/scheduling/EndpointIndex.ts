import type { DispatchCore } from '../DispatchCore'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { ServiceEndpoints } from './ServiceEndpoints'

/**
 * The endpoints by service, updated incrementally: the cost of a scheduling round depends on the
 * number of endpoints that changed since the last one, not on the number of all endpoints.
 *
 * @internal
 */
export class EndpointIndex {
  readonly #services = new Map<string, ServiceEndpoints>()
  readonly #serviceOf = new Map<EndpointRecord, ServiceEndpoints>()
  /** Endpoints whose state can change by the passing of time alone. */
  readonly #timeDependent = new Set<EndpointRecord>()

  constructor(private readonly core: DispatchCore) {}

  forService(service: string): ServiceEndpoints {
    const known = this.#services.get(service)
    if (known !== undefined) return known
    const endpoints = new ServiceEndpoints(this.core, service)
    this.#services.set(service, endpoints)
    return endpoints
  }

  /** Applies all changes since the last call. */
  refresh(now: number): void {
    this.refreshChanged(now)
    for (const endpoint of this.#timeDependent) this.#refresh(now, endpoint)
    for (const service of this.#services.values()) service.refreshSpeeds(now)
  }

  /** Like `refresh`, but within a round, when no time has passed since. */
  refreshChanged(now: number): void {
    this.core.endpoints.drainChanged((endpoint) => {
      this.#refresh(now, endpoint)
    })
  }

  #refresh(now: number, endpoint: EndpointRecord): void {
    const isKnown = this.core.endpoints.has(endpoint)
    const service = isKnown ? this.forService(endpoint.service) : undefined
    const before = this.#serviceOf.get(endpoint)
    if (before !== undefined && before !== service) before.delete(endpoint)
    if (service === undefined) {
      this.#serviceOf.delete(endpoint)
      this.#timeDependent.delete(endpoint)
      return
    }
    if (before !== service) this.#serviceOf.set(endpoint, service)
    if (service.refresh(now, endpoint)) this.#timeDependent.add(endpoint)
    else this.#timeDependent.delete(endpoint)
  }
}
