import type { PlacementOutlook } from '@cherryhitch/policy'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { ServiceLane } from './ServiceLane'

/** Endpoints this much slower than their peers are not worth waiting for. */
const SLOW = 2
/** Busy endpoints that are looked at; more would not change the expectation much. */
const MAX_LOOKED_AT = 64
/** A task that runs longer than expected is thought to need this share of that time still. */
const OVERDUE_SHARE = 0.2

/**
 * When a busy endpoint that is not slow is expected to have a free slot. The picker asks only when
 * just stragglers are free, so it is worked out only then.
 *
 * @internal
 */
export class NextSlotOutlook implements PlacementOutlook {
  constructor(
    private readonly now: number,
    private readonly lane: ServiceLane,
    /** Whether there are open endpoints that the picker was not shown. */
    private readonly moreOpen: boolean,
  ) {}

  get nextSlotMs(): number {
    if (this.moreOpen) return 0
    let soonest = Infinity
    let lookedAt = 0
    for (const record of this.lane.endpoints) {
      if (record.openPosition >= 0 || record.leaving) continue
      if (++lookedAt > MAX_LOOKED_AT) break
      soonest = Math.min(soonest, this.nextSlotAt(record))
    }
    return soonest
  }

  private nextSlotAt(record: EndpointRecord): number {
    const slowness = this.lane.pace.slowness(this.now, record.endpoint)
    if (slowness >= SLOW) return Infinity
    let soonest = Infinity
    for (const task of record.running.values()) {
      const expected = task.estimateMs * this.lane.pace.bias * slowness
      const left = expected - (this.now - task.dispatchedAt)
      soonest = Math.min(soonest, Math.max(left, OVERDUE_SHARE * expected))
    }
    return soonest
  }
}
