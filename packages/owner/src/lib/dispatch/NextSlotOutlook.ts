import type { PlacementOutlook } from '@cherryhitch/policy'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { ServicePool } from './ServicePool'

/** Endpoints that are slower than their peers by this factor are not worth waiting for. */
const STRAGGLER_SLOWNESS = 2
/** Maximum number of busy endpoints that are scanned; more would hardly change the estimate. */
const MAX_ENDPOINTS_SCANNED = 64
/** Minimum share of its expected run time that a running task is assumed to need still. */
const MIN_REMAINING_SHARE = 0.2

/**
 * Estimates when a busy endpoint that is not slow will have a free slot. The estimate is computed
 * on demand, since the picker needs it only when all free endpoints are stragglers.
 *
 * @internal
 */
export class NextSlotOutlook implements PlacementOutlook {
  constructor(
    private readonly now: number,
    private readonly pool: ServicePool,
    /** Whether there may be open endpoints that are not among the picker's candidates. */
    private readonly hasMoreOpen: boolean,
  ) {}

  get nextSlotMs(): number {
    if (this.hasMoreOpen) return 0
    let soonest = Infinity
    let scanned = 0
    for (const record of this.pool.endpoints) {
      if (record.openPosition >= 0 || record.leaving) continue
      if (++scanned > MAX_ENDPOINTS_SCANNED) break
      soonest = Math.min(soonest, this.nextSlotMsAt(record))
    }
    return soonest
  }

  private nextSlotMsAt(record: EndpointRecord): number {
    const slowness = this.pool.runTimes.slowness(this.now, record.endpoint)
    if (slowness >= STRAGGLER_SLOWNESS) return Infinity
    let soonest = Infinity
    for (const task of record.running.values()) {
      const expected = task.estimateMs * this.pool.runTimes.bias * slowness
      const remaining = expected - (this.now - task.dispatchedAt)
      soonest = Math.min(soonest, Math.max(remaining, MIN_REMAINING_SHARE * expected))
    }
    return soonest
  }
}
