import type { ControlError, ControlNode } from '@cherryhitch/control'
import { startControlNode } from '@cherryhitch/control'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { InstancePhase } from './Readiness'
import type { StartContext } from './StartContext'
import { logOf } from './StartContext'

/** @internal */
export function startControlPart(
  context: StartContext,
): Effect.Effect<ControlNode, ControlError, Scope.Scope> {
  const { options, boot, parts, settings } = context
  const { instance, zone, disk, peers } = options
  const voters = peers.filter((peer) => peer.voter).map((peer) => peer.instance)
  if (disk !== undefined) voters.push(instance)
  const control = startControlNode({
    instance,
    boot,
    zone,
    voters,
    ...(disk === undefined ? {} : { disk }),
    ...(options.autoInit === undefined ? {} : { autoInit: options.autoInit }),
    send: parts.send,
    onDefect: () => {
      parts.readiness.enter(InstancePhase.Broken)
    },
    log: logOf(options, 'control'),
    onSettings: settings.apply,
  })
  return Effect.tap(control, (node) =>
    Effect.sync(() => {
      parts.control.bind(node)
    }),
  )
}
