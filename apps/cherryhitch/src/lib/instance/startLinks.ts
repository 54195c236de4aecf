import { CoordinatorEventKind } from '@cherryhitch/coordinator'
import { MembershipEventKind } from '@cherryhitch/membership'
import { OwnerEventKind } from '@cherryhitch/owner'
import type { LinkError, LinkHost } from '@cherryhitch/rpc'
import { startLinkHost } from '@cherryhitch/rpc'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { EnvelopeRouter } from './EnvelopeRouter'
import type { InstanceParts } from './InstanceParts'
import type { StartContext } from './StartContext'
import { logOf } from './StartContext'

/** @internal */
export function startLinks(context: StartContext): Effect.Effect<LinkHost, LinkError, Scope.Scope> {
  const { options, boot, parts } = context
  const { instance, peers, instances, tokens } = options
  const router = createRouter(parts)
  const links = startLinkHost({
    instance,
    boot,
    listen: { host: instances.host, port: instances.port },
    peers,
    ...(tokens === undefined ? {} : { token: tokens.instances }),
    onEnvelope: (from, fromBoot, message) => {
      router.route(from, fromBoot, message)
    },
    onLinkUp: (peer, roundTripMs) => {
      parts.membership.use((membership) => {
        membership.tell({ kind: MembershipEventKind.LinkUp, peer, roundTripMs })
      })
    },
    onLinkDown: (peer) => {
      parts.membership.use((membership) => {
        membership.tell({ kind: MembershipEventKind.LinkDown, peer })
      })
    },
    log: logOf(options, 'links'),
  })
  return Effect.tap(links, (host) =>
    Effect.sync(() => {
      parts.links.bind(host)
    }),
  )
}

function createRouter(parts: InstanceParts): EnvelopeRouter {
  return new EnvelopeRouter({
    toOwner: (from, message) => {
      parts.owner.use((owner) => {
        owner.tell({ kind: OwnerEventKind.Message, from, message })
      })
    },
    toCoordinator: (from, message) => {
      parts.coordinator.use((coordinator) => {
        coordinator.tell({ kind: CoordinatorEventKind.Message, from, message })
      })
    },
    toMembership: (from, boot, heartbeat) => {
      parts.membership.use((membership) => {
        membership.tell({ kind: MembershipEventKind.Heartbeat, from, boot, heartbeat })
      })
    },
    toControl: (from, boot, body) => {
      parts.control.use((control) => {
        control.receive(from, boot, body)
      })
    },
  })
}
