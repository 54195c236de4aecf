import { create } from '@bufbuild/protobuf'
import type { HeartbeatAnswer, HeartbeatBody, ResourcesBody } from '@cherryhitch/model'
import { isValidName } from '@cherryhitch/model'
import type { EndpointAnnouncement, Resources } from '@cherryhitch/protocol'
import { EndpointAnnouncementSchema, EndpointState, ResourcesSchema } from '@cherryhitch/protocol'
import { Effect } from 'effect'
import { ExtraMembers, bodyDecoder } from '../exchange/decodeBody'
import { jsonReply } from '../exchange/Reply'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import type { Handler } from '../routing/Router'
import type { HttpLimits } from '../server/HttpServerOptions'
import type { EndpointService, HeartbeatReply } from '../services/EndpointService'
import { heartbeatBodySchema } from './heartbeatBody'

const OK = 200

/** Handles `POST /v1/endpoints/{id}/heartbeat`. @internal */
export function heartbeat(endpoints: EndpointService, limits: HttpLimits): Handler {
  // Endpoints are released independently; a newer one may send members unknown to this version.
  const decode = bodyDecoder(heartbeatBodySchema, limits.nestingDepth, ExtraMembers.Ignore)
  return (req) => {
    const endpoint = req.params.id ?? ''
    if (!isValidName(endpoint)) return Effect.fail(badEndpointName())
    const body = decode(req.body)
    if (body.err) return Effect.fail(body.val)
    const reply = endpoints.heartbeat(createAnnouncement(endpoint, body.val))
    return Effect.map(reply, (answer) => jsonReply(OK, heartbeatAnswer(answer)))
  }
}

function createAnnouncement(endpoint: string, body: HeartbeatBody): EndpointAnnouncement {
  return create(EndpointAnnouncementSchema, {
    endpoint,
    service: body.service,
    zone: body.zone,
    rack: body.rack,
    address: body.address,
    slots: body.slots,
    connections: body.connections,
    capacity: createResources(body.capacity),
    boot: body.boot,
    runningTaskIds: [...body.runningTaskIds],
    state: body.state === 'leaving' ? EndpointState.LEAVING : EndpointState.SERVING,
    usage: createResources(body.usage ?? {}),
  })
}

function createResources({ cores, memoryMb, accelerators }: ResourcesBody): Resources {
  return create(ResourcesSchema, {
    cores: cores ?? 0,
    memoryMb: memoryMb ?? 0,
    accelerators: accelerators ?? 0,
  })
}

function heartbeatAnswer({
  owner,
  ownerAddress,
  nextHeartbeatMs,
}: HeartbeatReply): HeartbeatAnswer {
  return { owner, ownerAddress, nextHeartbeatMs }
}

function badEndpointName(): RequestError {
  const message = 'The endpoint in the path has no valid name (1 to 64 letters, digits, - or _).'
  return new RequestError(RequestErrorKind.Malformed, message)
}
