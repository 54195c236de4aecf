import { create } from '@bufbuild/protobuf'
import {
  ClaimAnswerSchema,
  ClaimState,
  ClaimVerdict,
  StoredClaimSchema,
} from '@cherryhitch/protocol'
import type { ClaimAnswer, ClaimEnd, KeyClaim, StoredClaim } from '@cherryhitch/protocol'

/** @internal */
export interface ClaimTableOptions {
  /** Maximum number of claims. */
  readonly limit: number
  /** Minimum time for which an ended claim is kept, in milliseconds. */
  readonly retentionMs: number
}

/**
 * Records which job holds which submission key.
 *
 * A claim that has not ended is never evicted. An ended claim is evicted only when the table is
 * full and its retention time is over. If no claim can be evicted, a new one is refused, which is
 * safe: its job is not dispatched.
 *
 * A stored claim without a state was released: its job was never dispatched and never will be, so
 * another job may claim the key. It is kept so that a late claim by the released job fails.
 *
 * @internal
 */
export class ClaimTable {
  readonly #options: ClaimTableOptions
  readonly #claims = new Map<string, StoredClaim>()
  /** When each ended or released claim ended, by table key, earliest first. */
  readonly #ended = new Map<string, number>()

  constructor(options: ClaimTableOptions, stored: readonly StoredClaim[]) {
    this.#options = options
    for (const claim of stored) {
      if (claim.claim === undefined) continue
      const key = tableKey(claim.claim)
      this.#claims.set(key, claim)
    }
    const ended = stored.filter(({ state }) => state !== ClaimState.CLAIMED)
    ended.sort((a, b) => a.endedAtMs - b.endedAtMs)
    for (const { claim, endedAtMs } of ended) {
      if (claim !== undefined) this.#ended.set(tableKey(claim), endedAtMs)
    }
  }

  get size(): number {
    return this.#claims.size
  }

  claim(claim: KeyClaim): ClaimAnswer {
    const key = tableKey(claim)
    const held = this.#claims.get(key)
    if (held !== undefined && !mayTakeOver(held, claim)) return answerForHeld(held, claim)
    if (held === undefined && !this.#makeRoom(claim.atMs)) {
      return create(ClaimAnswerSchema, { verdict: ClaimVerdict.FULL })
    }
    this.#ended.delete(key)
    this.#claims.set(key, create(StoredClaimSchema, { claim, state: ClaimState.CLAIMED }))
    return granted(claim)
  }

  /** Ends a claim and stores the answer of its job; an end without an answer releases the key. */
  end(end: ClaimEnd): void {
    const key = tableKey(end)
    const held = this.#claims.get(key)
    const isRelease = end.answer.length === 0
    if (held === undefined) {
      if (isRelease) this.#storeEnd(key, releasedClaim(end))
      return
    }
    if (held.claim?.jobId !== end.jobId || held.state !== ClaimState.CLAIMED) return
    const state = isRelease ? ClaimState.UNSPECIFIED : ClaimState.ENDED
    const { claim } = held
    const { answer, atMs: endedAtMs } = end
    this.#storeEnd(key, create(StoredClaimSchema, { claim, state, answer, endedAtMs }))
  }

  list(): StoredClaim[] {
    return [...this.#claims.values()]
  }

  #storeEnd(key: string, claim: StoredClaim): void {
    this.#claims.set(key, claim)
    this.#ended.set(key, claim.endedAtMs)
  }

  #makeRoom(atMs: number): boolean {
    for (const [key, endedAtMs] of this.#ended) {
      if (this.#claims.size < this.#options.limit) return true
      if (atMs - endedAtMs < this.#options.retentionMs) return false
      this.#ended.delete(key)
      this.#claims.delete(key)
    }
    return this.#claims.size < this.#options.limit
  }
}

function tableKey({ caller, submissionKey }: { caller: string; submissionKey: string }): string {
  return JSON.stringify([caller, submissionKey])
}

function mayTakeOver(held: StoredClaim, claim: KeyClaim): boolean {
  return held.state === ClaimState.UNSPECIFIED && held.claim?.jobId !== claim.jobId
}

function answerForHeld(held: StoredClaim, claim: KeyClaim): ClaimAnswer {
  const { state, answer } = held
  const jobId = held.claim?.jobId ?? ''
  // A job may claim again if the first answer was lost; it is still dispatched only once.
  const isRepeated = jobId === claim.jobId && state === ClaimState.CLAIMED
  if (held.claim?.contentHash !== claim.contentHash && state !== ClaimState.UNSPECIFIED) {
    return create(ClaimAnswerSchema, { verdict: ClaimVerdict.MISMATCH, jobId, state })
  }
  if (isRepeated) return granted(claim)
  return create(ClaimAnswerSchema, { verdict: ClaimVerdict.HELD, jobId, state, answer })
}

function granted({ jobId }: KeyClaim): ClaimAnswer {
  const state = ClaimState.CLAIMED
  return create(ClaimAnswerSchema, { verdict: ClaimVerdict.GRANTED, jobId, state })
}

function releasedClaim({ caller, submissionKey, jobId, atMs }: ClaimEnd): StoredClaim {
  return create(StoredClaimSchema, {
    claim: { caller, submissionKey, jobId, atMs },
    state: ClaimState.UNSPECIFIED,
    endedAtMs: atMs,
  })
}
