import type { ReadControl } from '@cherryhitch/protocol'
import type { Replication } from './Replication'

/** A read that waits until a majority confirms the leader. @internal */
export interface WaitingRead {
  readonly from: string
  readonly req: ReadControl
}

interface PendingRead extends WaitingRead {
  /** The read is confirmed once a majority has answered a later round than this one. */
  readonly afterRound: number
}

/**
 * Linearizable reads. They are confirmed by the regular heartbeats, so a read costs no extra
 * message between the voters and waits for at most one heartbeat interval.
 *
 * @internal
 */
export class QuorumReads {
  #pending: PendingRead[] = []

  add(read: WaitingRead, afterRound: number): void {
    this.#pending.push({ ...read, afterRound })
  }

  /** Removes and returns the reads that a majority has confirmed. */
  takeConfirmed(replication: Replication): readonly WaitingRead[] {
    if (this.#pending.length === 0) return []
    const confirmed = replication.majorityRound()
    const ready = this.#pending.filter(({ afterRound }) => confirmed > afterRound)
    this.#pending = this.#pending.filter(({ afterRound }) => confirmed <= afterRound)
    return ready
  }

  takeAll(): readonly WaitingRead[] {
    const all = this.#pending
    this.#pending = []
    return all
  }
}
