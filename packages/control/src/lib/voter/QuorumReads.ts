import type { ReadControl } from '@cherryhitch/protocol'
import type { Replication } from './Replication'

/** A read that waits until a majority confirms the leadership. @internal */
export interface WaitingRead {
  readonly from: string
  readonly req: ReadControl
}

interface PendingRead extends WaitingRead {
  /** A majority has to answer a later round than this. */
  readonly afterRound: number
}

/**
 * Reads through the quorum. They ride on the heartbeats, so that a read costs no message among
 * the voters and waits for one heartbeat at most.
 *
 * @internal
 */
export class QuorumReads {
  #pending: PendingRead[] = []

  add(read: WaitingRead, afterRound: number): void {
    this.#pending.push({ ...read, afterRound })
  }

  /** Takes the reads out that a majority has confirmed. */
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
