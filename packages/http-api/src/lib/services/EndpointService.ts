import type { EndpointAnnouncement } from '@cherryhitch/protocol'
import type { Effect } from 'effect'

/** Where an endpoint sends its next heartbeat, and when. @public */
export interface HeartbeatReply {
  readonly owner: string
  /** Host and port of the owner's endpoint API. */
  readonly ownerAddress: string
  readonly nextHeartbeatMs: number
}

/** Operations of the instance behind the endpoint API. @public */
export abstract class EndpointService {
  abstract heartbeat(announcement: EndpointAnnouncement): Effect.Effect<HeartbeatReply>
}
