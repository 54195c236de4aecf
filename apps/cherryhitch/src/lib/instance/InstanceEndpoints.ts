import type { HeartbeatReply } from '@cherryhitch/http-api'
import { EndpointService } from '@cherryhitch/http-api'
import type { InstanceView } from '@cherryhitch/model'
import type { OwnerPart } from '@cherryhitch/owner'
import { OwnerEventKind } from '@cherryhitch/owner'
import type { EndpointAnnouncement, Envelope } from '@cherryhitch/protocol'
import { envelope } from '@cherryhitch/protocol'
import { Effect } from 'effect'

/** What the endpoint interface needs of its instance. @internal */
export interface InstanceEndpointsOptions {
  readonly instance: string
  readonly owner: OwnerPart
  readonly heartbeatMs: number
  readonly send: (to: string, message: Envelope) => void
  readonly members: () => readonly InstanceView[]
}

/**
 * Takes heartbeats. One that belongs to another instance is passed on to it as well, so that
 * `leaving` takes effect whichever instance heard it first.
 *
 * @internal
 */
export class InstanceEndpoints extends EndpointService {
  constructor(private readonly options: InstanceEndpointsOptions) {
    super()
  }

  override heartbeat(announcement: EndpointAnnouncement): Effect.Effect<HeartbeatReply> {
    return Effect.sync(() => this.takeHeartbeat(announcement))
  }

  private takeHeartbeat(announcement: EndpointAnnouncement): HeartbeatReply {
    const { instance, owner, send, heartbeatMs } = this.options
    const home = this.pickHome(announcement)
    if (home.instance === instance) {
      owner.tell({ kind: OwnerEventKind.Heartbeat, announcement })
    } else {
      send(home.instance, envelope({ case: 'forwardHeartbeat', value: { announcement } }))
    }
    return {
      owner: home.instance,
      ownerAddress: home.endpointAddress,
      nextHeartbeatMs: heartbeatMs,
    }
  }

  /** The owner, or this instance while none is known: heartbeats must never stop. */
  private pickHome({ endpoint, service, zone }: EndpointAnnouncement): InstanceView {
    const members = this.options.members()
    const ownerName = this.options.owner.ownerOf(endpoint, service, zone)
    const self = members.find((member) => member.self)
    const found = members.find((member) => member.instance === ownerName)
    const home = found ?? self
    if (home === undefined) throw new Error('the view of members lacks this instance')
    return home
  }
}
