import { changeMembers } from '../state/voterSet'
import type { StoredVoter } from '../voter/VoterOptions'

/**
 * Instances of the members that the disk of a voter names, its own included. A change whose entry
 * was not committed counts too, so some may be no members any more.
 *
 * @internal
 */
export function storedMembers({ snapshot, entries }: StoredVoter): readonly string[] {
  let members: Parameters<typeof changeMembers>[0] = snapshot?.voters ?? []
  for (const { command } of entries) {
    if (command?.change.case !== 'changeVoters') continue
    members = changeMembers(members, command.change.value).unwrapOr(members)
  }
  return [...new Set(members.map(({ instance }) => instance))]
}
