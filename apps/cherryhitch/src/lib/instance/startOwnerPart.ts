import type { OwnerPart } from '@cherryhitch/owner'
import { startOwner } from '@cherryhitch/owner'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { tellOffer } from './offers'
import { InstancePhase } from './Readiness'
import type { StartContext } from './StartContext'
import { firstPreset, logOf } from './StartContext'

/** @internal */
export function startOwnerPart(
  context: StartContext,
): Effect.Effect<OwnerPart, never, Scope.Scope> {
  const { options, timing, boot, parts } = context
  const { instance, zone, telemetry, tokens } = options
  const { heartbeatMs, endpointTimeoutMs, leaseMs } = timing
  const owner = startOwner({
    instance,
    zone,
    boot,
    preset: firstPreset(),
    timing: { heartbeatMs, endpointTimeoutMs, leaseMs },
    ...(tokens === undefined ? {} : { client: { token: tokens.endpoints } }),
    send: parts.send,
    onSummaryChanged: () => {
      tellOffer(context, true)
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
