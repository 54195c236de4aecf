import { create } from '@bufbuild/protobuf'
import { ChangeVotersSchema, VoterChangeKind } from '@cherryhitch/protocol'
import type { ChangeVoters, Voter } from '@cherryhitch/protocol'
import type { Result } from 'ts-results'
import { Err, Ok } from '@cherryhitch/model'
import { changeMembers, majorityOf } from '../state/voterSet'
import type { Replication } from './Replication'
import type { VoterCore } from './VoterCore'

/**
 * Decides which changes of the voters are safe now, and which the leader makes on its own.
 *
 * The set grows by two at a time, up to the size that bears the losses asked for, and never shrinks
 * below that for silence: the disks of silent voters hold what others may still lose.
 *
 * A voter that is gone is removed before its successor is promoted: in between, as many losses are
 * borne as before. One that is only silent may be needed again, if another is lost: a learner is
 * promoted first, and the silent one goes when the larger set is committed.
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

  /** Why a change must not be made now. */
  check(now: number, change: ChangeVoters): Result<void, string> {
    const { log, commitIndex, term, members } = this.#core
    if (log.termAt(commitIndex) !== term) return Err('the leader has committed nothing yet')
    const pending = log.slice(commitIndex + 1)
    if (pending.some(({ command }) => command?.change.case === 'changeVoters')) {
      return Err('another change of the voters is not yet committed')
    }
    const promotes = change.kind === VoterChangeKind.PROMOTE
    if (promotes && !this.#hasCaughtUp(now, change.diskId)) {
      return Err(`disk ${change.diskId} has not caught up`)
    }
    const changed = changeMembers(members, change)
    if (changed.err || this.#isReachable(now, changed.val)) return Ok.EMPTY
    return Err('no majority of the changed set can be reached')
  }

  /** The change that the leader should make by itself, if any. */
  next(now: number): ChangeVoters | undefined {
    const { members, config } = this.#core
    const ready = members.filter(({ learner, diskId }) => {
      return learner && this.#hasCaughtUp(now, diskId)
    })
    const voters = members.filter((member) => !member.learner)
    const isEven = voters.length % 2 === 0
    const isShort = voters.length < config.wantedVoters
    // An even set bears no more losses than the odd one below it: it is made whole first.
    if (isEven && isShort && ready[0] !== undefined) return this.#promote(ready[0], now)
    const gone = members.find((member) => this.#isGone(now, member, ready))
    if (gone !== undefined) return this.#remove(gone, now)
    const silent = voters.find(({ diskId }) => this.#isSilent(now, diskId))
    if (isEven && voters.length > 2 && silent !== undefined) return this.#remove(silent, now)
    const canGrow = isShort && ready.length >= 2
    const isWanted = isEven || silent !== undefined || canGrow
    return ready[0] !== undefined && isWanted ? this.#promote(ready[0], now) : undefined
  }

  /** It can't come back: an instance has one disk, and there is a new one in its place. */
  #isGone(now: number, member: Voter, ready: readonly Voter[]): boolean {
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
    return this.#replication.matchOf(diskId) >= this.#core.commitIndex
  }

  #isReachable(now: number, members: readonly Voter[]): boolean {
    const { electionMinMs } = this.#core.config.timing
    const reachable = members.filter(({ diskId, learner }) => {
      // Being newly elected is no sign of a member: it must have accepted something in this term.
      if (learner || this.#replication.matchOf(diskId) < 0) return false
      return this.#replication.silentMs(now, diskId) <= electionMinMs
    })
    return reachable.length >= majorityOf(members)
  }

  #promote(learner: Voter, now: number): ChangeVoters {
    const reason = 'it has caught up and takes a free place'
    return this.#change(VoterChangeKind.PROMOTE, learner, reason, now)
  }

  #remove(lost: Voter, now: number): ChangeVoters {
    return this.#change(VoterChangeKind.REMOVE, lost, 'the disk is lost', now)
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
