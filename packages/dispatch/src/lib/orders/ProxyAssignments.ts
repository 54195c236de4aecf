/** An instance that may bring orders to endpoints. @public */
export interface ProxyInstance {
  readonly instance: string
  readonly zone: string
}

/** Who calls an endpoint. */
interface Assignment {
  readonly instance: string
  usedAt: number
}

/**
 * A call from another zone takes one way between zones longer. It's worth half as much load
 * again, not a proxy that has twice as many endpoints.
 */
const OTHER_ZONE_WEIGHT = 1.5
/** An endpoint that got no order for this long is gone; each gets several a second. */
const FORGET_MS = 10_000

/**
 * Which instance calls which endpoint: evenly, and from the endpoint's own zone where that is
 * possible. An endpoint stays with its proxy, so that connections are used again.
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

  /** Endpoints of a lost proxy move on; when one has come, all are shared out anew. */
  setProxies(proxies: readonly ProxyInstance[]): void {
    const known = new Set(this.#proxies.map(({ instance }) => instance))
    const present = new Set(proxies.map(({ instance }) => instance))
    const hasNew = proxies.some(({ instance }) => !known.has(instance))
    this.#proxies = proxies
    for (const [endpoint, { instance }] of this.#assigned) {
      if (hasNew || !present.has(instance)) this.#release(endpoint, instance)
    }
  }

  /** The instance to call an endpoint; undefined while there is none. */
  proxyOf(now: number, endpoint: string, zone: string): string | undefined {
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

  forgetUnused(now: number): void {
    for (const [endpoint, { instance, usedAt }] of this.#assigned) {
      if (now - usedAt > FORGET_MS) this.#release(endpoint, instance)
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
