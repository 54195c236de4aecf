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
 * A voter that is gone is removed before its successor is promoted: in between, the two others are
 * needed, as they were before. One that is only silent may be needed again, if another is lost: a
 * learner is promoted first, and the silent one goes when the larger set is committed.
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
    const { members } = this.#core
    const learner = members.find(({ learner, diskId }) => {
      return learner && this.#hasCaughtUp(now, diskId)
    })
    const gone = members.find((member) => this.#isGone(now, member, learner))
    if (gone !== undefined) return this.#change(VoterChangeKind.REMOVE, gone, now)
    const voters = members.filter((member) => !member.learner)
    const silent = voters.find(({ diskId }) => this.#isSilent(now, diskId))
    const isEven = voters.length % 2 === 0
    if (isEven && voters.length > 2 && silent !== undefined) {
      return this.#change(VoterChangeKind.REMOVE, silent, now)
    }
    // An even set tolerates no more losses than the odd one below it.
    if (learner === undefined || (!isEven && silent === undefined)) return undefined
    return this.#change(VoterChangeKind.PROMOTE, learner, now)
  }

  /** It can't come back: an instance has one disk, and there is a new one in its place. */
  #isGone(now: number, member: Voter, successor: Voter | undefined): boolean {
    if (member.diskId === this.#core.diskId || member === successor) return false
    if (this.#replication.hasLostEntries(member.diskId)) return true
    if (member.instance !== successor?.instance) return false
    const silentMs = this.#replication.silentMs(now, member.diskId)
    return silentMs > this.#core.config.timing.electionMaxMs
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

  #change(kind: VoterChangeKind, { instance, diskId }: Voter, atMs: number): ChangeVoters {
    const operator = `leader ${this.#core.config.instance}`
    const reason =
      kind === VoterChangeKind.REMOVE
        ? 'the disk is lost'
        : 'it has caught up and takes a free place'
    return create(ChangeVotersSchema, { kind, instance, diskId, operator, reason, atMs })
  }
}
