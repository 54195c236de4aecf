import type { ServiceEndpoints } from './ServiceEndpoints'

/**
 * Free CPU of a service's healthy endpoints, in thousandths of a core, with that of endpoints which
 * can't receive tasks for a moment. It doesn't depend on the waiting tasks.
 *
 * @internal
 */
export function freeCpuMillisOf({
  available,
  expected,
}: Pick<ServiceEndpoints, 'available' | 'expected'>): number {
  let free = available.freeCpuMillis()
  for (const endpoint of expected) {
    if (endpoint.isSynced) free += Math.max(0, endpoint.freeCapacity().cpuMillis)
  }
  return free
}
