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

  /**
   * @param lastFollowedAt - when an earlier voter of this process last followed a leader. It counts
   *   for every term, since the disk may hold a lower term than the one that was followed.
   */
  constructor(lastFollowedAt?: number) {
    this.#lastFollowedAt = lastFollowedAt
  }

  /** When this process last followed a leader; undefined if it never did. */
  get lastFollowedAt(): number | undefined {
    return this.#lastFollowedAt
  }

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
