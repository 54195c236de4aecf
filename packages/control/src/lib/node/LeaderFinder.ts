/** Whom to ask: the leader if it is known, else one voter or zone peer after the other. @internal */
export class LeaderFinder {
  readonly #voters: readonly string[]
  readonly #peers = new Set<string>()
  readonly #self: string
  #leader = ''
  #confirmed = ''
  #next = 0

  constructor(self: string, voters: readonly string[]) {
    this.#self = self
    this.#voters = voters
  }

  /** Empty while it is unknown. */
  get leader(): string {
    return this.#leader
  }

  /**
   * The leader, if it answered as one itself; empty otherwise. Only it gets proposals: a proposal
   * to an instance that may be dead would leave its sender without knowing what became of it.
   */
  get confirmed(): string {
    return this.#confirmed
  }

  /** An instance answered as the leader. */
  confirm(instance: string): void {
    this.#leader = instance
    this.#confirmed = instance
  }

  notePeer(instance: string): void {
    if (!this.#voters.includes(instance) && instance !== this.#self) this.#peers.add(instance)
  }

  /** Somebody names the leader, or says with an empty name that it knows none. */
  noteHint(from: string, leader: string): void {
    if (leader === '' || this.#confirmed === from) this.noteSilence(from)
    if (leader === '' || leader === this.#leader) return
    this.#leader = leader
    this.#confirmed = ''
  }

  /** An instance did not answer, or does not lead any more. */
  noteSilence(instance: string): void {
    if (this.#leader === instance) this.#leader = ''
    if (this.#confirmed === instance) this.#confirmed = ''
  }

  /** The instance to ask next; undefined when none is known. */
  target(): string | undefined {
    if (this.#leader !== '') return this.#leader
    const all = [...this.#voters, ...this.#peers]
    if (all.length === 0) return undefined
    const index = this.#next % all.length
    this.#next++
    return all[index]
  }
}
