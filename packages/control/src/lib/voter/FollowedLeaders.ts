/**
 * Records until when this process followed leaders, itself included, by term. A new leader asks a
 * majority for these times: no earlier leader was confirmed by a majority after the latest of them.
 *
 * @internal
 */
export class FollowedLeaders {
  #term = 0
  #lastFollowedAt: number | undefined
  #earlierTermFollowedAt: number | undefined

  record(now: number, term: number): void {
    if (term < this.#term) return
    if (term > this.#term) this.#earlierTermFollowedAt = this.#lastFollowedAt
    this.#term = term
    this.#lastFollowedAt = now
  }

  /**
   * When this process last followed a leader of a term before `term`; undefined if it never did.
   */
  lastFollowedBefore(term: number): number | undefined {
    return this.#term >= term ? this.#earlierTermFollowedAt : this.#lastFollowedAt
  }
}
