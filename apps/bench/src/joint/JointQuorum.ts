import { create } from '@bufbuild/protobuf'
import type { ClaimAnswer, ClaimEnd, KeyClaim } from '@cherryhitch/protocol'
import { ClaimAnswerSchema, ClaimState, ClaimVerdict } from '@cherryhitch/protocol'

/** What the voters hold of claims, as one table. */
export class JointQuorum {
  private readonly claims = new Map<
    string,
    { jobId: string; state: ClaimState; answer: Uint8Array }
  >()
  /** Jobs whose claim was released; a claim of theirs that comes later is not granted. */
  private readonly released = new Set<string>()

  constructor(private readonly isExclusive: boolean) {}

  claim({ submissionKey, jobId }: KeyClaim): ClaimAnswer {
    if (this.released.has(jobId)) {
      const state = ClaimState.UNSPECIFIED
      return create(ClaimAnswerSchema, { verdict: ClaimVerdict.HELD, jobId, state })
    }
    const held = this.claims.get(submissionKey)
    if (held !== undefined && held.jobId !== jobId && this.isExclusive) {
      return create(ClaimAnswerSchema, { verdict: ClaimVerdict.HELD, ...held })
    }
    const state = ClaimState.CLAIMED
    this.claims.set(submissionKey, { jobId, state, answer: new Uint8Array(0) })
    return create(ClaimAnswerSchema, { verdict: ClaimVerdict.GRANTED, jobId, state })
  }

  end({ submissionKey, jobId, answer }: ClaimEnd): void {
    const held = this.claims.get(submissionKey)
    if (answer.length === 0) this.released.add(jobId)
    if (held?.jobId !== jobId || held.state !== ClaimState.CLAIMED) return
    if (answer.length === 0) this.claims.delete(submissionKey)
    else this.claims.set(submissionKey, { jobId, state: ClaimState.ENDED, answer })
  }
}
