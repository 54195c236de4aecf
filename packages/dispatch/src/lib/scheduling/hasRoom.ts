import type { JobQueue } from './JobQueue'
import type { ServiceEndpoints } from './ServiceEndpoints'

/** Whether any endpoint has free CPU for the smallest waiting task. @internal */
export function hasRoom({ minCpuMillis }: JobQueue, { available }: ServiceEndpoints): boolean {
  return available.size > 0 && available.maxFreeCpuMillis >= minCpuMillis
}
