import type { OwnerActor } from '@cherryhitch/owner'
import { startOwner } from '@cherryhitch/owner'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { publishOffer } from './offers'
import { InstancePhase } from './Readiness'
import type { StartContext } from './StartContext'
import { initialPreset, logOf } from './StartContext'

/** @internal */
export function startOwnerPart(
  context: StartContext,
): Effect.Effect<OwnerActor, never, Scope.Scope> {
  const { options, timing, boot, parts } = context
  const { instance, zone, telemetry, tokens } = options
  const { heartbeatMs, endpointTimeoutMs, leaseMs } = timing
  const owner = startOwner({
    instance,
    zone,
    boot,
    preset: initialPreset(),
    timing: { heartbeatMs, endpointTimeoutMs, leaseMs },
    ...(tokens === undefined ? {} : { client: { token: tokens.endpoints } }),
    send: parts.send,
    onSummaryChanged: () => {
      publishOffer(context, true)
    },
    onSpan: (span) => {
      telemetry.recordSpan(span)
    },
    onDrained: () => {
      context.ownerDrained.set()
    },
    onDefect: () => {
      parts.readiness.enter(InstancePhase.Broken)
    },
    log: logOf(options, 'owner'),
  })
  return Effect.tap(owner, (part) =>
    Effect.sync(() => {
      parts.owner.bind(part)
    }),
  )
}
