/** An instance that can forward orders to endpoints. @public */
export interface ProxyInstance {
  readonly instance: string
  readonly zone: string
}

/** The instance that calls an endpoint. */
interface Assignment {
  readonly instance: string
  usedAt: number
}

/**
 * Load factor of a proxy in another zone than the endpoint, whose calls take one more trip between
 * zones. A proxy in the same zone is preferred even with up to half as much load again, but not
 * with twice as many endpoints.
 */
const OTHER_ZONE_WEIGHT = 1.5
/**
 * An endpoint without an order for this long is gone, in milliseconds: every endpoint gets several
 * orders per second.
 */
const ASSIGNMENT_TTL_MS = 10_000

/**
 * Assigns endpoints to proxies: evenly, and within the zone of the endpoint if possible. An
 * endpoint keeps its proxy, so that connections are reused.
 *
 * @internal
 */
export class ProxyAssignments {
  readonly #assigned = new Map<string, Assignment>()
  readonly #loads = new Map<string, number>()
  #proxies: readonly ProxyInstance[] = []

  get hasProxies(): boolean {
    return this.#proxies.length > 0
  }

  /** Reassigns the endpoints of a lost proxy, or all endpoints if there is a new proxy. */
  setProxies(proxies: readonly ProxyInstance[]): void {
    const known = new Set(this.#proxies.map(({ instance }) => instance))
    const present = new Set(proxies.map(({ instance }) => instance))
    const hasNew = proxies.some(({ instance }) => !known.has(instance))
    this.#proxies = proxies
    for (const [endpoint, { instance }] of this.#assigned) {
      if (hasNew || !present.has(instance)) this.#release(endpoint, instance)
    }
  }

  /** Returns the proxy of an endpoint and assigns one if needed; undefined if there is no proxy. */
  proxyFor(now: number, endpoint: string, zone: string): string | undefined {
    const known = this.#assigned.get(endpoint)
    if (known !== undefined) {
      known.usedAt = now
      return known.instance
    }
    const chosen = this.#leastLoaded(zone)
    if (chosen === undefined) return undefined
    this.#assigned.set(endpoint, { instance: chosen, usedAt: now })
    this.#loads.set(chosen, (this.#loads.get(chosen) ?? 0) + 1)
    return chosen
  }

  evictUnused(now: number): void {
    for (const [endpoint, { instance, usedAt }] of this.#assigned) {
      if (now - usedAt > ASSIGNMENT_TTL_MS) this.#release(endpoint, instance)
    }
  }

  #release(endpoint: string, instance: string): void {
    this.#assigned.delete(endpoint)
    this.#loads.set(instance, (this.#loads.get(instance) ?? 1) - 1)
  }

  #leastLoaded(zone: string): string | undefined {
    let best: string | undefined
    let bestCost = Infinity
    for (const proxy of this.#proxies) {
      const weight = proxy.zone === zone ? 1 : OTHER_ZONE_WEIGHT
      const cost = ((this.#loads.get(proxy.instance) ?? 0) + 1) * weight
      if (cost >= bestCost) continue
      best = proxy.instance
      bestCost = cost
    }
    return best
  }
}
