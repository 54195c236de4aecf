import type { ControlNode } from '@cherryhitch/control'
import { MembershipEventKind } from '@cherryhitch/membership'
import { InstanceState } from '@cherryhitch/protocol'
import { systemClock } from '@cherryhitch/runtime'
import { Effect } from 'effect'
import { InstancePhase } from './Readiness'
import type { StartContext } from './StartContext'
import { logOf } from './StartContext'
import type { MembershipActor } from './startMembership'

const SETTINGS_POLL_MS = 50

/**
 * Marks the instance as ready once the settings in force are known, or after `settingsWaitMs` if no
 * quorum has confirmed them by then.
 *
 * @internal
 */
export function becomeReady(
  { options, timing, parts }: StartContext,
  control: ControlNode,
  membership: MembershipActor,
): Effect.Effect<void> {
  const log = logOf(options, 'instance')
  return Effect.gen(function* () {
    const startedAt = systemClock.now()
    while (control.settings()?.current !== true) {
      if (systemClock.now() - startedAt >= timing.settingsWaitMs) {
        log('no quorum confirmed the settings in time; serving with the newest known version')
        break
      }
      yield* Effect.sleep(SETTINGS_POLL_MS)
    }
    membership.tell({ kind: MembershipEventKind.LocalState, state: InstanceState.SERVING })
    parts.readiness.enter(InstancePhase.Serving)
    log('ready')
  })
}
