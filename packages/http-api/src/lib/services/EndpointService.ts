import type { EndpointAnnouncement } from '@cherryhitch/protocol'
import type { Effect } from 'effect'

/** Where an endpoint sends its next heartbeat, and when. @public */
export interface HeartbeatReply {
  readonly owner: string
  /** Host and port of the owner's endpoint interface. */
  readonly ownerAddress: string
  readonly nextHeartbeatMs: number
}

/** What the endpoint interface needs of the instance. @public */
export abstract class EndpointService {
  abstract heartbeat(announcement: EndpointAnnouncement): Effect.Effect<HeartbeatReply>
}
