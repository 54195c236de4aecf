import type { DispatchCore } from '../DispatchCore'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { ServiceEndpoints } from './ServiceEndpoints'

/**
 * The endpoints by service, kept up to date where one has changed: a round of placing costs what
 * happened since the last one, and not the size of the site.
 *
 * @internal
 */
export class EndpointIndex {
  readonly #services = new Map<string, ServiceEndpoints>()
  readonly #serviceOf = new Map<EndpointRecord, ServiceEndpoints>()
  /** Those that time alone may change. */
  readonly #watched = new Set<EndpointRecord>()

  constructor(private readonly core: DispatchCore) {}

  of(service: string): ServiceEndpoints {
    const known = this.#services.get(service)
    if (known !== undefined) return known
    const endpoints = new ServiceEndpoints(this.core)
    this.#services.set(service, endpoints)
    return endpoints
  }

  /** Takes in what has changed since the last call. */
  refresh(now: number): void {
    this.refreshChanged(now)
    for (const endpoint of this.#watched) this.#refresh(now, endpoint)
  }

  /** The same within a round, when no time has passed. */
  refreshChanged(now: number): void {
    this.core.endpoints.drainChanged((endpoint) => {
      this.#refresh(now, endpoint)
    })
  }

  #refresh(now: number, endpoint: EndpointRecord): void {
    const isThere = this.core.endpoints.has(endpoint)
    const service = isThere ? this.of(endpoint.service) : undefined
    const before = this.#serviceOf.get(endpoint)
    if (before !== undefined && before !== service) before.delete(endpoint)
    if (service === undefined) {
      this.#serviceOf.delete(endpoint)
      this.#watched.delete(endpoint)
      return
    }
    if (before !== service) this.#serviceOf.set(endpoint, service)
    if (service.refresh(now, endpoint)) this.#watched.add(endpoint)
    else this.#watched.delete(endpoint)
  }
}
