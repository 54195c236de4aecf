import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { OwnerContext } from '../OwnerContext'
import type { EndpointView } from './EndpointView'

/** Builds the operators' view of an endpoint. @internal */
export function describeEndpoint(
  now: number,
  ctx: OwnerContext,
  record: EndpointRecord,
): EndpointView {
  return {
    endpoint: record.endpoint,
    service: record.service,
    zone: record.announcement.zone,
    rack: record.announcement.rack,
    address: record.address,
    boot: record.boot,
    owned: record.owned,
    leaving: record.leaving,
    reach: record.reach,
    health: ctx.health.state(now, record.endpoint),
    slots: record.slots,
    freeSlots: record.freeSlots,
    runningTasks: record.running.size,
    heldSlots: record.heldSlots.size,
    silentMs: now - record.lastHeartbeatAt,
    slowness: ctx.pools.get(record.service)?.runTimes.slowness(now, record.endpoint) ?? 1,
  }
}
