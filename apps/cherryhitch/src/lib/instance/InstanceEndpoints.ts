import type { HeartbeatReply } from '@cherryhitch/http-api'
import { EndpointService } from '@cherryhitch/http-api'
import type { InstanceView } from '@cherryhitch/model'
import type { OwnerActor } from '@cherryhitch/owner'
import { OwnerEventKind } from '@cherryhitch/owner'
import type { EndpointAnnouncement, Envelope } from '@cherryhitch/protocol'
import { envelope } from '@cherryhitch/protocol'
import { Effect } from 'effect'

/** Dependencies of the endpoint interface. @internal */
export interface InstanceEndpointsOptions {
  readonly instance: string
  readonly owner: OwnerActor
  readonly heartbeatMs: number
  readonly send: (to: string, message: Envelope) => void
  readonly members: () => readonly InstanceView[]
}

/**
 * Handles heartbeats of endpoints. The heartbeat of an endpoint that another instance owns is
 * forwarded to that instance, so that `leaving` takes effect whichever instance received it.
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
    const target = this.chooseTarget(announcement)
    if (target.instance === instance) {
      owner.tell({ kind: OwnerEventKind.Heartbeat, announcement })
    } else {
      send(target.instance, envelope({ case: 'forwardHeartbeat', value: { announcement } }))
    }
    return {
      owner: target.instance,
      ownerAddress: target.endpointAddress,
      nextHeartbeatMs: heartbeatMs,
    }
  }

  /** The owner, or this instance while none is known, so that every heartbeat gets an answer. */
  private chooseTarget({ endpoint, service, zone }: EndpointAnnouncement): InstanceView {
    const members = this.options.members()
    const ownerName = this.options.owner.ownerOf(endpoint, service, zone)
    const self = members.find((member) => member.self)
    const found = members.find((member) => member.instance === ownerName)
    const target = found ?? self
    if (target === undefined) throw new Error('the view of members lacks this instance')
    return target
  }
}
