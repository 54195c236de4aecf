import { create } from '@bufbuild/protobuf'
import { VotersStatusSchema } from '@cherryhitch/protocol'
import type { VotersStatus } from '@cherryhitch/protocol'
import type { Replication } from './Replication'
import type { VoterCore } from './VoterCore'

/** What operators see of the voters, from the leader's side. @internal */
export function describeVoters(
  now: number,
  core: VoterCore,
  replication: Replication,
): VotersStatus {
  const { leader, term, commitIndex, members, majority } = core
  const heard = replication.countHeard(now, core.config.timing.electionMinMs)
  return create(VotersStatusSchema, {
    leader,
    term,
    commitIndex,
    members: members.map(({ instance, diskId, learner }) => {
      const matchIndex = replication.matchOf(diskId)
      const silentMs = replication.silentMs(now, diskId)
      return { instance, diskId, learner, matchIndex, silentMs }
    }),
    safeLosses: Math.max(0, heard - majority),
  })
}
