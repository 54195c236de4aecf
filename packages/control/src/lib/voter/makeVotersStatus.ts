import { create } from '@bufbuild/protobuf'
import { VotersStatusSchema } from '@cherryhitch/protocol'
import type { VotersStatus } from '@cherryhitch/protocol'
import type { Replication } from './Replication'
import type { VoterCore } from './VoterCore'
import type { VoterSafety } from './VoterSafety'

/** Status of the voters as shown to operators, from the leader's view. @internal */
export function makeVotersStatus(
  now: number,
  core: VoterCore,
  replication: Replication,
  safety: VoterSafety,
): VotersStatus {
  const { leader, term, commitIndex, members } = core
  return create(VotersStatusSchema, {
    leader,
    term,
    commitIndex,
    members: members.map(({ instance, diskId, learner }) => {
      const matchIndex = replication.matchIndexOf(diskId)
      const silentMs = replication.silentMs(now, diskId)
      return { instance, diskId, learner, matchIndex, silentMs }
    }),
    safeLosses: safety.safeLosses(now),
  })
}
