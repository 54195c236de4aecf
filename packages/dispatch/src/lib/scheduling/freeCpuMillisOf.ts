import type { JobQueue } from './JobQueue'
import type { ServiceEndpoints } from './ServiceEndpoints'

/**
 * Free CPU of a service in which mean tasks of its queue fit, in thousandths of a core.
 *
 * @internal
 */
export function freeCpuMillisOf({ meanNeeds }: JobQueue, { available }: ServiceEndpoints): number {
  return available.countFreeSlots(meanNeeds, Infinity) * meanNeeds.cpuMillis
}
