import type { Voter } from '@cherryhitch/protocol'

/** Who counts, and what a leader may commit by counting. @internal */
export abstract class QuorumRules {
  abstract counts(member: Voter): boolean
  abstract mayCommit(entryTerm: number, currentTerm: number): boolean
}

/** Learners never count; entries of earlier terms are committed only by one of the own term. @internal */
export class StrictQuorumRules extends QuorumRules {
  override counts(member: Voter): boolean {
    return !member.learner
  }

  override mayCommit(entryTerm: number, currentTerm: number): boolean {
    return entryTerm === currentTerm
  }
}
