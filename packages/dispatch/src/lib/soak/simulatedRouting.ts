import { create } from '@bufbuild/protobuf'
import { RoutingTableSchema } from '@cherryhitch/protocol'
import type { RoutingTable } from '@cherryhitch/protocol'

/** The service of all simulated endpoints. @internal */
export const SERVICE = 'tracing'
/** Host to which callers send their jobs. @internal */
export const HOST = 'calls'
/** Number of queues. @internal */
export const QUEUES = 3

/**
 * Routing table of the simulations.
 *
 * @param priorities - priority of each queue; 0, the most urgent, by default
 * @internal
 */
export function makeSimulatedRouting(priorities: readonly number[] = []): RoutingTable {
  return create(RoutingTableSchema, {
    version: 1,
    routes: Array.from({ length: QUEUES }, (_, queue) => ({
      name: `r${queue}`,
      host: HOST,
      pathPrefix: `/q${queue}/`,
      service: SERVICE,
      targetMs: 60,
      stretch: 1.6,
      priority: priorities[queue] ?? 0,
    })),
    services: [SERVICE],
  })
}
