import type { Voter } from '@cherryhitch/protocol'

/** Which members have a vote, and which entries a majority may commit. @internal */
export abstract class QuorumRules {
  abstract hasVote(member: Voter): boolean
  abstract mayCommit(entryTerm: number, currentTerm: number): boolean
}

/**
 * Learners never have a vote. Entries of earlier terms are committed only together with an entry of
 * the leader's own term.
 *
 * @internal
 */
export class StrictQuorumRules extends QuorumRules {
  override hasVote(member: Voter): boolean {
    return !member.learner
  }

  override mayCommit(entryTerm: number, currentTerm: number): boolean {
    return entryTerm === currentTerm
  }
}
