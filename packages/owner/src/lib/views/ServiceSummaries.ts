import { create } from '@bufbuild/protobuf'
import { HealthState } from '@cherryhitch/policy'
import type { Resources, ServiceSummary } from '@cherryhitch/protocol'
import { ResourcesSchema, ServiceSummarySchema } from '@cherryhitch/protocol'
import type { ServicePool } from '../dispatch/ServicePool'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { EndpointReach } from '../endpoints/EndpointRecord'
import type { OwnerContext } from '../OwnerContext'

/** A change in free slots by more than this fraction is announced. */
const SIGNIFICANT_CHANGE = 0.25

interface SlotOffer {
  readonly slots: number
  readonly freeSlots: number
}

interface Tally {
  endpoints: number
  slots: number
  freeSlots: number
  ejected: number
  largest: Resources | undefined
}

/** Summarizes capacity and load per service, and detects changes worth announcing. @internal */
export class ServiceSummaries {
  private announced = new Map<string, SlotOffer>()
  private announcedAt = -Infinity

  constructor(private readonly ctx: OwnerContext) {}

  make(now: number): readonly ServiceSummary[] {
    if (!this.offersSlots) return []
    return [...this.ctx.pools.values()].map((pool) => this.summarize(now, pool))
  }

  /** Whether the slots on offer differ significantly from those last announced. */
  hasChangedSignificantly(now: number): boolean {
    if (now - this.announcedAt < this.ctx.timing.summaryIntervalMs) return false
    const offers = new Map<string, SlotOffer>()
    if (this.offersSlots) {
      for (const pool of this.ctx.pools.values()) offers.set(pool.service, this.tally(now, pool))
    }
    if (!differSignificantly(this.announced, offers)) return false
    this.announced = offers
    this.announcedAt = now
    return true
  }

  private get offersSlots(): boolean {
    return !this.ctx.draining && !this.ctx.isZoneDrained
  }

  private summarize(now: number, pool: ServicePool): ServiceSummary {
    const { endpoints, slots, freeSlots, ejected, largest } = this.tally(now, pool)
    const summary = create(ServiceSummarySchema, {
      service: pool.service,
      endpoints,
      slots,
      freeSlots,
      queuedTasks: pool.queue.size + pool.delayedTasks,
      waitMs: pool.predictWaitMs(slots, freeSlots),
      meanRunMs: pool.meanRunMs,
      ejectedEndpoints: ejected,
    })
    if (largest !== undefined) summary.largest = largest
    return summary
  }

  private tally(now: number, pool: ServicePool): Tally {
    const tally: Tally = { endpoints: 0, slots: 0, freeSlots: 0, ejected: 0, largest: undefined }
    for (const record of pool.endpoints) {
      if (!this.isUsable(now, record)) continue
      tally.endpoints++
      tally.largest = maxResources(tally.largest, record.announcement.capacity)
      const health = this.ctx.health.state(now, record.endpoint)
      if (health === HealthState.Ejected) {
        tally.ejected++
        continue
      }
      tally.slots += record.slots
      tally.freeSlots += record.freeSlots
    }
    return tally
  }

  private isUsable(now: number, record: EndpointRecord): boolean {
    if (record.leaving || record.reach === EndpointReach.Unreachable) return false
    return now - record.lastHeartbeatAt < this.ctx.timing.endpointTimeoutMs
  }
}

/** The maximum of each resource, taken separately. */
function maxResources(
  one: Resources | undefined,
  other: Resources | undefined,
): Resources | undefined {
  if (one === undefined || other === undefined) return one ?? other
  return create(ResourcesSchema, {
    cores: Math.max(one.cores, other.cores),
    memoryMb: Math.max(one.memoryMb, other.memoryMb),
    accelerators: Math.max(one.accelerators, other.accelerators),
  })
}

function differSignificantly(
  before: ReadonlyMap<string, SlotOffer>,
  after: ReadonlyMap<string, SlotOffer>,
): boolean {
  if (before.size !== after.size) return true
  for (const [service, offer] of after) {
    const old = before.get(service)
    if (old === undefined) return true
    if (old.slots !== offer.slots) return true
    if ((old.freeSlots === 0) !== (offer.freeSlots === 0)) return true
    if (Math.abs(old.freeSlots - offer.freeSlots) > SIGNIFICANT_CHANGE * Math.max(1, old.freeSlots))
      return true
  }
  return false
}
