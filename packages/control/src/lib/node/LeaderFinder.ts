/**
 * Chooses the instance to send a request to: the leader if it is known, otherwise the voters and
 * the peers of the availability zone in turn.
 *
 * @internal
 */
export class LeaderFinder {
  readonly #voters: readonly string[]
  readonly #peers = new Set<string>()
  readonly #self: string
  #leader = ''
  #confirmedLeader = ''
  #nextIndex = 0

  constructor(self: string, voters: readonly string[]) {
    this.#self = self
    this.#voters = voters
  }

  /** The leader's instance, confirmed or named by another instance; empty while it is unknown. */
  get leader(): string {
    return this.#leader
  }

  /**
   * The leader's instance if it answered as the leader itself; empty otherwise. Proposals are sent
   * only to a confirmed leader: after a proposal to an instance that may be down, the result of the
   * command would be unknown.
   */
  get confirmedLeader(): string {
    return this.#confirmedLeader
  }

  /** Called when an instance answered as the leader. */
  confirmLeader(instance: string): void {
    this.#leader = instance
    this.#confirmedLeader = instance
  }

  addPeer(instance: string): void {
    if (!this.#voters.includes(instance) && instance !== this.#self) this.#peers.add(instance)
  }

  /** Called when an instance names the leader, or an empty name if it knows none. */
  onLeaderHint(from: string, leader: string): void {
    if (leader === '' || this.#confirmedLeader === from) this.clearLeader(from)
    if (leader === '' || leader === this.#leader) return
    this.#leader = leader
    this.#confirmedLeader = ''
  }

  /** Called when the own voter follows an instance as the leader. */
  onLeaderFollowed(leader: string): void {
    if (leader === this.#leader) return
    this.#leader = leader
    this.#confirmedLeader = ''
  }

  /** Called when an instance did not answer or no longer leads: forgets it as the leader. */
  clearLeader(instance: string): void {
    if (this.#leader === instance) this.#leader = ''
    if (this.#confirmedLeader === instance) this.#confirmedLeader = ''
  }

  /** The instance to send the next request to; undefined if none is known. */
  nextTarget(): string | undefined {
    if (this.#leader !== '') return this.#leader
    const all = [...this.#voters, ...this.#peers]
    if (all.length === 0) return undefined
    const index = this.#nextIndex % all.length
    this.#nextIndex++
    return all[index]
  }
}
