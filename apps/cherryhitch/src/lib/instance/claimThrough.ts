import { ControlErrorKind } from '@cherryhitch/control'
import type { ControlNode } from '@cherryhitch/control'
import type { CoordinatorEvent } from '@cherryhitch/coordinator'
import { CoordinatorEventKind } from '@cherryhitch/coordinator'
import type { KeyClaim } from '@cherryhitch/protocol'
import { Effect } from 'effect'

/**
 * Claims a key and tells the coordinator what came of it: granted or held, truly not claimed, or
 * not known.
 *
 * @internal
 */
export function claimThrough(
  control: ControlNode,
  claim: KeyClaim,
  tell: (event: CoordinatorEvent) => void,
): Effect.Effect<void> {
  const { jobId } = claim
  return Effect.match(control.claim(claim), {
    onSuccess: (answer) => {
      tell({ kind: CoordinatorEventKind.ClaimAnswered, jobId, answer, mayBeClaimed: false })
    },
    onFailure: (err) => {
      const mayBeClaimed = err.kind === ControlErrorKind.ClaimUnknown
      const answer = undefined
      tell({ kind: CoordinatorEventKind.ClaimAnswered, jobId, answer, mayBeClaimed })
    },
  })
}
