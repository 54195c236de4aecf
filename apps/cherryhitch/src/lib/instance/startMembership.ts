import type { InstanceView } from '@cherryhitch/model'
import type { MembershipAction, MembershipEvent, MembershipOptions } from '@cherryhitch/membership'
import { MembershipActionKind, MembershipMachine } from '@cherryhitch/membership'
import { exhaustive } from '@cherryhitch/model'
import type { Envelope } from '@cherryhitch/protocol'
import type { Actor } from '@cherryhitch/runtime'
import { startActor } from '@cherryhitch/runtime'
import { Effect } from 'effect'
import type { Scope } from 'effect'

/** Options and callbacks of the membership part. @internal */
export interface StartMembershipOptions extends MembershipOptions {
  readonly tickMs: number
  readonly send: (to: string, message: Envelope) => void
  readonly onView: (members: readonly InstanceView[]) => void
  readonly onDefect: (defect: unknown) => void
  readonly log: (line: string) => void
}

/** The running membership part. @internal */
export interface MembershipActor extends Actor<MembershipEvent> {
  readonly counters: () => Readonly<Record<string, number>>
}

/** Starts the fiber that detects which instances are alive. @internal */
export function startMembership(
  options: StartMembershipOptions,
): Effect.Effect<MembershipActor, never, Scope.Scope> {
  const machine = new MembershipMachine(options)
  const perform = (action: MembershipAction): void => {
    switch (action.kind) {
      case MembershipActionKind.Send:
        options.send(action.to, action.envelope)
        return
      case MembershipActionKind.ViewChanged:
        options.onView(action.members)
        return
      case MembershipActionKind.InstanceLost:
        options.log(`lost ${action.instance}`)
        return
      case MembershipActionKind.InstanceFound:
        options.log(`found ${action.instance}`)
        return
      default:
        exhaustive(action)
    }
  }
  const part = startActor(machine, {
    perform,
    onDefect: options.onDefect,
    tickMs: options.tickMs,
  })
  return Effect.map(part, (running) => ({ ...running, counters: () => machine.counters }))
}
