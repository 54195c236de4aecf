import { create } from '@bufbuild/protobuf'
import { ChangeVotersSchema, VoterChangeKind } from '@cherryhitch/protocol'
import type { ChangeVoters, Voter } from '@cherryhitch/protocol'
import type { Result } from 'ts-results'
import { Err, Ok } from '@cherryhitch/model'
import { changeMembers, majorityOf } from '../state/voterSet'
import type { Replication } from './Replication'
import type { VoterCore } from './VoterCore'

/**
 * Decides which membership changes are safe now, and which ones the leader proposes on its own.
 *
 * The set grows by two voters at a time, up to the size that tolerates the configured losses.
 * Silence alone never shrinks it below that size: the disks of silent voters hold entries that the
 * other voters may still lose.
 *
 * A voter that is permanently lost is removed before its replacement is promoted; the smaller set
 * tolerates as many further losses as the set did before. A voter that is only silent may be needed
 * again if another one is lost, so a learner is promoted first, and the silent voter is removed
 * once the larger set is committed.
 *
 * @internal
 */
export class VoterRepair {
  readonly #core: VoterCore
  readonly #replication: Replication

  constructor(core: VoterCore, replication: Replication) {
    this.#core = core
    this.#replication = replication
  }

  /** Returns the reason if the change must not be made now. */
  validate(now: number, change: ChangeVoters): Result<void, string> {
    const { log, commitIndex, term, members } = this.#core
    if (log.termAt(commitIndex) !== term) return Err('the leader has committed nothing yet')
    const pending = log.slice(commitIndex + 1)
    if (pending.some(({ command }) => command?.change.case === 'changeVoters')) {
      return Err('another change of the voters is not yet committed')
    }
    const isPromotion = change.kind === VoterChangeKind.PROMOTE
    if (isPromotion && !this.#hasCaughtUp(now, change.diskId)) {
      return Err(`disk ${change.diskId} has not caught up`)
    }
    if (isDeparture(change) && countVoters(members) % 2 === 1) {
      return Err('no learner has taken the place, or another voter has left instead')
    }
    const changed = changeMembers(members, change)
    if (changed.err || this.#hasReachableMajority(now, changed.val)) return Ok.EMPTY
    return Err('no majority of the changed set can be reached')
  }

  /** The change that the leader should propose on its own, if any. */
  nextChange(now: number): ChangeVoters | undefined {
    const { members, config } = this.#core
    const ready = members.filter(({ learner, diskId }) => {
      return learner && this.#hasCaughtUp(now, diskId)
    })
    const voters = members.filter((member) => !member.learner)
    const isEven = voters.length % 2 === 0
    const isBelowTarget = voters.length < config.targetVoterCount
    // An even set tolerates no more losses than the odd set below it, so it is completed first.
    if (isEven && isBelowTarget && ready[0] !== undefined) return this.#promote(ready[0], now)
    const lost = members.find((member) => this.#isPermanentlyLost(now, member, ready))
    if (lost !== undefined) return this.#remove(lost, now)
    const silent = voters.find(({ diskId }) => this.#isSilent(now, diskId))
    if (isEven && voters.length > 2 && silent !== undefined) return this.#remove(silent, now)
    const canGrow = isBelowTarget && ready.length >= 2
    const mayPromote = isEven || silent !== undefined || canGrow
    return ready[0] !== undefined && mayPromote ? this.#promote(ready[0], now) : undefined
  }

  /**
   * True if the member has lost entries, or if its disk cannot come back: an instance has a single
   * disk, and a learner with a new disk has caught up in the same instance.
   */
  #isPermanentlyLost(now: number, member: Voter, ready: readonly Voter[]): boolean {
    const { diskId, instance } = member
    if (diskId === this.#core.diskId || ready.includes(member)) return false
    if (this.#replication.hasLostEntries(diskId)) return true
    if (!ready.some((learner) => learner.instance === instance)) return false
    return this.#replication.silentMs(now, diskId) > this.#core.config.timing.electionMaxMs
  }

  #isSilent(now: number, diskId: string): boolean {
    return this.#replication.silentMs(now, diskId) > this.#core.config.timing.replaceSilentMs
  }

  #hasCaughtUp(now: number, diskId: string): boolean {
    const silentMs = this.#replication.silentMs(now, diskId)
    if (silentMs > this.#core.config.timing.electionMinMs) return false
    return this.#replication.matchIndexOf(diskId) >= this.#core.commitIndex
  }

  #hasReachableMajority(now: number, members: readonly Voter[]): boolean {
    const { electionMinMs } = this.#core.config.timing
    const reachable = members.filter(({ diskId, learner }) => {
      // The contact times start at the election, so they prove nothing about a member until it has
      // accepted a message in this term.
      if (learner || this.#replication.matchIndexOf(diskId) < 0) return false
      return this.#replication.silentMs(now, diskId) <= electionMinMs
    })
    return reachable.length >= majorityOf(members)
  }

  #promote(learner: Voter, now: number): ChangeVoters {
    const reason = 'it has caught up and takes a free place'
    return this.#change(VoterChangeKind.PROMOTE, learner, reason, now)
  }

  #remove(voter: Voter, now: number): ChangeVoters {
    return this.#change(VoterChangeKind.REMOVE, voter, 'the disk is lost', now)
  }

  #change(
    kind: VoterChangeKind,
    { instance, diskId }: Voter,
    reason: string,
    atMs: number,
  ): ChangeVoters {
    const operator = `leader ${this.#core.config.instance}`
    return create(ChangeVotersSchema, { kind, instance, diskId, operator, reason, atMs })
  }
}

/**
 * True if a voter removes itself before its process stops. Several may do so at the same time, after
 * a single learner was promoted; only the first one leaves, since the smaller set bears no loss.
 */
function isDeparture({ kind, instance, operator }: ChangeVoters): boolean {
  return kind === VoterChangeKind.REMOVE && operator === instance
}

function countVoters(members: readonly Voter[]): number {
  return members.filter(({ learner }) => !learner).length
}
