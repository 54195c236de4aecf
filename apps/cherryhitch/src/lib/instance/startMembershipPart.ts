import { CoordinatorEventKind } from '@cherryhitch/coordinator'
import type { InstanceView } from '@cherryhitch/model'
import { OwnerEventKind } from '@cherryhitch/owner'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { InstancePhase } from './Readiness'
import type { StartContext } from './StartContext'
import { logOf } from './StartContext'
import type { InstanceInterfaces } from './startInterfaces'
import type { MembershipActor } from './startMembership'
import { startMembership } from './startMembership'

/** @internal */
export function startMembershipPart(
  context: StartContext,
  interfaces: InstanceInterfaces,
): Effect.Effect<MembershipActor, never, Scope.Scope> {
  const { options, timing, boot, parts } = context
  const { instance, zone, peers, endpoints } = options
  const log = logOf(options, 'membership')
  const membership = startMembership({
    instance,
    boot,
    zone,
    endpointAddress: `${endpoints.host}:${interfaces.endpoints.port}`,
    peers,
    timing: { heartbeatMs: timing.instanceHeartbeatMs, timeoutMs: timing.instanceTimeoutMs },
    tickMs: timing.partTickMs,
    send: parts.send,
    onView: (members) => {
      distributeView(context, members)
    },
    onDefect: (defect) => {
      parts.readiness.enter(InstancePhase.Broken)
      log(`stopped by an unexpected error: ${String(defect)}`)
    },
    log,
  })
  return Effect.tap(membership, (part) =>
    Effect.sync(() => {
      parts.membership.bind(part)
    }),
  )
}

function distributeView({ parts, options }: StartContext, members: readonly InstanceView[]): void {
  parts.setMembers(members)
  parts.owner.use((owner) => {
    owner.tell({ kind: OwnerEventKind.Members, members })
  })
  parts.coordinator.use((coordinator) => {
    coordinator.tell({ kind: CoordinatorEventKind.Members, members })
  })
  parts.control.use((control) => {
    for (const member of members) {
      if (member.self || !member.alive || member.zone !== options.zone) continue
      control.observePeer(member.instance, member.settingsVersion)
    }
  })
}
