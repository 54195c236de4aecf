import { VoterChangeKind } from '@cherryhitch/protocol'
import type { ChangeVoters, Voter, VotersStatus } from '@cherryhitch/protocol'

/** A learner that was silent for longer than this does not take a place. */
const MAX_SILENT_MS = 500
/** A smaller set has no majority without each of its voters, so it is not changed in passing. */
const MIN_VOTERS = 3

/** @internal */
export type HandoverChange = Pick<ChangeVoters, 'kind' | 'instance' | 'diskId'>

/**
 * The next change by which a voter that is about to stop leaves its place to a learner. The learner
 * is promoted first, so that the set can bear as many losses as before at any time. An even set
 * bears no more losses than the odd one below it, so the voter is then removed.
 *
 * The leader refuses to promote a learner that has not caught up.
 *
 * @returns undefined if there is nothing to do: the disk has no vote any more, or no learner could
 *   take its place, as in a deployment without spare instances
 * @internal
 */
export function nextHandoverChange(
  { members }: VotersStatus,
  diskId: string,
): HandoverChange | undefined {
  const own = members.find((member) => member.diskId === diskId)
  const voterCount = members.filter(({ learner }) => !learner).length
  if (own === undefined || own.learner || voterCount < MIN_VOTERS) return undefined
  if (voterCount % 2 === 0) return changeOf(VoterChangeKind.REMOVE, own)
  const successors = members.filter(({ learner, matchIndex, silentMs }) => {
    return learner && matchIndex > 0 && silentMs <= MAX_SILENT_MS
  })
  const [successor] = successors.sort((a, b) => b.matchIndex - a.matchIndex)
  return successor && changeOf(VoterChangeKind.PROMOTE, successor)
}

function changeOf(
  kind: VoterChangeKind,
  { instance, diskId }: Pick<Voter, 'instance' | 'diskId'>,
): HandoverChange {
  return { kind, instance, diskId }
}
