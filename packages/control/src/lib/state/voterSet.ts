import { create } from '@bufbuild/protobuf'
import { exhaustive } from '@cherryhitch/model'
import { VoterChangeKind, VoterSchema } from '@cherryhitch/protocol'
import type { ChangeVoters, Voter } from '@cherryhitch/protocol'
import type { Result } from 'ts-results'
import { Err, Ok } from '@cherryhitch/model'

/** Number of voters that form a majority of a set; learners never count. @internal */
export function majorityOf(members: readonly Voter[]): number {
  return Math.floor(members.filter((member) => !member.learner).length / 2) + 1
}

/** Returns the set after the change, or the reason why the change is not possible. @internal */
export function changeMembers(
  members: readonly Voter[],
  change: ChangeVoters,
): Result<readonly Voter[], string> {
  const present = members.find((member) => member.diskId === change.diskId)
  switch (change.kind) {
    case VoterChangeKind.ADD_LEARNER:
      return addLearner(members, present, change)
    case VoterChangeKind.PROMOTE:
      if (present === undefined) return Err(`disk ${change.diskId} is not a member`)
      if (!present.learner) return Err(`disk ${change.diskId} votes already`)
      return Ok(members.map((member) => (member === present ? asVoter(member) : member)))
    case VoterChangeKind.REMOVE:
      return removeMember(members, present, change)
    case VoterChangeKind.UNSPECIFIED:
      return Err('the kind of change is missing')
    default:
      return exhaustive(change.kind)
  }
}

function addLearner(
  members: readonly Voter[],
  present: Voter | undefined,
  { instance, diskId }: ChangeVoters,
): Result<readonly Voter[], string> {
  if (instance === '' || diskId === '') return Err('instance and disk id must be named')
  if (present !== undefined) return Err(`disk ${diskId} is a member already`)
  return Ok([...members, create(VoterSchema, { instance, diskId, learner: true })])
}

function removeMember(
  members: readonly Voter[],
  present: Voter | undefined,
  { diskId }: ChangeVoters,
): Result<readonly Voter[], string> {
  if (present === undefined) return Err(`disk ${diskId} is not a member`)
  const rest = members.filter((member) => member !== present)
  if (rest.every((member) => member.learner)) return Err('the last voter must stay')
  return Ok(rest)
}

function asVoter({ instance, diskId }: Voter): Voter {
  return create(VoterSchema, { instance, diskId, learner: false })
}
