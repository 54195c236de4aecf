/**
 * Until when this process followed leaders, itself included, by term. A new leader asks a majority
 * for it: no earlier leader was confirmed by a majority after the latest of these times.
 *
 * @internal
 */
export class FollowedLeaders {
  #term = 0
  #until: number | undefined
  #before: number | undefined

  note(now: number, term: number): void {
    if (term < this.#term) return
    if (term > this.#term) this.#before = this.#until
    this.#term = term
    this.#until = now
  }

  /** When a leader of an earlier term was last followed; undefined if never by this process. */
  before(term: number): number | undefined {
    return this.#term >= term ? this.#before : this.#until
  }
}
