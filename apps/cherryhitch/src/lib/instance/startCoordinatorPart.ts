import type { CoordinatorActor } from '@cherryhitch/coordinator'
import { startCoordinator } from '@cherryhitch/coordinator'
import type { KeyClaim } from '@cherryhitch/protocol'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { claimAndReport } from './claimAndReport'
import type { InstanceParts } from './InstanceParts'
import { InstancePhase } from './Readiness'
import type { StartContext } from './StartContext'
import { initialPreset, logOf } from './StartContext'

/** @internal */
export function startCoordinatorPart(
  context: StartContext,
): Effect.Effect<CoordinatorActor, never, Scope.Scope> {
  const { options, timing, boot, parts } = context
  const { instance, zone, telemetry } = options
  const callerWeights = new Map(
    options.tokens?.callers.map(({ caller, weight }) => [caller, weight] as const),
  )
  const coordinator = startCoordinator({
    instance,
    zone,
    boot,
    preset: initialPreset(),
    callerWeights,
    timing: { leaseMs: timing.leaseMs },
    send: parts.send,
    claim: (claim) => {
      claimKey(parts, claim)
    },
    endClaim: (end) => {
      parts.control.use((control) => {
        control.endClaim(end)
      })
    },
    onSpan: (span) => {
      telemetry.recordSpan(span)
    },
    onDrained: () => {
      context.coordinatorDrained.set()
    },
    onDefect: () => {
      parts.readiness.enter(InstancePhase.Broken)
    },
    log: logOf(options, 'coordinator'),
  })
  return Effect.tap(coordinator, (part) =>
    Effect.sync(() => {
      parts.coordinator.bind(part)
    }),
  )
}

function claimKey(parts: InstanceParts, claim: KeyClaim): void {
  parts.control.use((control) => {
    parts.coordinator.use((coordinator) => {
      Effect.runFork(claimAndReport(control, claim, coordinator.tell))
    })
  })
}
