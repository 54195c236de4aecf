import { create } from '@bufbuild/protobuf'
import { RoutingTableSchema } from '@cherryhitch/protocol'

/** The service of all simulated endpoints. @internal */
export const SERVICE = 'tracing'
/** Host to which callers send their jobs. @internal */
export const HOST = 'calls'
/** Number of queues. @internal */
export const QUEUES = 3

/** Routing table of the simulations. @internal */
export const TABLE = create(RoutingTableSchema, {
  version: 1,
  routes: Array.from({ length: QUEUES }, (_, queue) => ({
    name: `r${queue}`,
    host: HOST,
    pathPrefix: `/q${queue}/`,
    service: SERVICE,
    targetMs: 60,
    stretch: 1.6,
  })),
  services: [SERVICE],
})
