import type { EndpointCapacity } from '@cherryhitch/protocol'

/** True when `needs` is at least as large as `other` in every resource. @internal */
export function needsAtLeast(needs: EndpointCapacity, other: EndpointCapacity): boolean {
  if (needs.cpuMillis < other.cpuMillis || needs.memoryMb < other.memoryMb) return false
  return needs.gpus >= other.gpus
}
