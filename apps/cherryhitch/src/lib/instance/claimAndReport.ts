import { ControlErrorKind } from '@cherryhitch/control'
import type { ControlNode } from '@cherryhitch/control'
import type { CoordinatorEvent } from '@cherryhitch/coordinator'
import { CoordinatorEventKind } from '@cherryhitch/coordinator'
import type { KeyClaim } from '@cherryhitch/protocol'
import { Effect } from 'effect'

/**
 * Claims a submission key and reports the result to the coordinator: the answer, granted or held; a
 * failure, in which the key was certainly not claimed; or an unknown outcome.
 *
 * @internal
 */
export function claimAndReport(
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
