import { exhaustive } from '@cherryhitch/model'
import type { Voter } from '@cherryhitch/protocol'
import type { Replication } from './Replication'
import type { VoterCore } from './VoterCore'

/** Why a member does not count among those that the next loss may leave. @internal */
export enum MissingReason {
  Silent = 'silent',
  /** It has accepted nothing in this term yet, so nothing is known of its disk. */
  Unknown = 'unknown',
  LostEntries = 'lost_entries',
  Behind = 'behind',
  LearnerBehind = 'learner_behind',
  /** A learner that could be promoted. */
  LearnerReady = 'learner_ready',
}

/** @internal */
export interface MissingMember {
  readonly member: Voter
  readonly reason: MissingReason
}

interface CommitSample {
  readonly at: number
  readonly index: number
}

/**
 * How many further voters may lose their disks for good before no majority holds what is
 * committed: those that are in contact and hold it, less the majority of the present set.
 *
 * @internal
 */
export class VoterSafety {
  readonly #core: VoterCore
  readonly #replication: Replication
  readonly #startedAt: number
  /** Commit indexes by time, oldest first, to tell a member that is behind from one on its way. */
  #samples: CommitSample[] = []
  #reported = ''

  constructor(core: VoterCore, replication: Replication, now: number) {
    this.#core = core
    this.#replication = replication
    this.#startedAt = now
  }

  /** Number of further losses that the set can bear; never negative. */
  safeLosses(now: number): number {
    const sound = this.#core.members.filter((member) => {
      return this.#missingReason(now, member) === undefined
    })
    return Math.max(0, sound.length - this.#core.majority)
  }

  missing(now: number): readonly MissingMember[] {
    return this.#core.members.flatMap((member) => {
      const reason = this.#missingReason(now, member)
      return reason === undefined ? [] : [{ member, reason }]
    })
  }

  /** Called with each heartbeat: logs the losses that the set can bear whenever they change. */
  observe(now: number): void {
    const { electionMinMs } = this.#core.config.timing
    this.#recordCommitIndex(now, electionMinMs)
    // Before that the members may not have had the time to answer the new leader.
    if (now - this.#startedAt < electionMinMs) return
    const safeLosses = this.safeLosses(now)
    const missing = this.missing(now)
    const reasons = missing.map(({ member, reason }) => `${member.diskId} ${reason}`)
    const report = `${safeLosses} ${this.#voterCount} ${reasons.join(', ')}`
    if (report === this.#reported) return
    this.#reported = report
    const described = missing.map((one) => this.#describe(now, one)).join('; ')
    this.#core.logLine(
      `the ${this.#voterCount} voters can bear ${safeLosses} further losses; missing: ${described || 'none'}`,
    )
  }

  get #voterCount(): number {
    return this.#core.members.filter((member) => !member.learner).length
  }

  /** Undefined for a voter that is in contact and holds what is committed. */
  #missingReason(now: number, { diskId, learner }: Voter): MissingReason | undefined {
    const { electionMinMs } = this.#core.config.timing
    if (this.#replication.hasLostEntries(diskId)) return MissingReason.LostEntries
    if (this.#replication.silentMs(now, diskId) > electionMinMs) return MissingReason.Silent
    const matchIndex = this.#replication.matchIndexOf(diskId)
    const isBehind = matchIndex < this.#expectedIndex
    if (learner) return isBehind ? MissingReason.LearnerBehind : MissingReason.LearnerReady
    if (matchIndex < 0) return MissingReason.Unknown
    return isBehind ? MissingReason.Behind : undefined
  }

  /** What has been committed for long enough that each member should hold it. */
  get #expectedIndex(): number {
    return this.#samples[0]?.index ?? 0
  }

  #recordCommitIndex(now: number, withinMs: number): void {
    this.#samples.push({ at: now, index: this.#core.commitIndex })
    const firstRecent = this.#samples.findIndex(({ at }) => now - at < withinMs)
    // The newest sample of those that are old enough stays.
    this.#samples = this.#samples.slice(Math.max(0, firstRecent - 1))
  }

  #describe(now: number, { member, reason }: MissingMember): string {
    const { diskId, instance } = member
    const why = this.#describeReason(now, diskId, reason)
    return `disk ${diskId} on ${instance} ${why}`
  }

  #describeReason(now: number, diskId: string, reason: MissingReason): string {
    const matchIndex = this.#replication.matchIndexOf(diskId)
    const { commitIndex } = this.#core
    switch (reason) {
      case MissingReason.Silent:
        return `is silent for ${Math.round(this.#replication.silentMs(now, diskId))} ms`
      case MissingReason.Unknown:
        return 'has accepted nothing in this term'
      case MissingReason.LostEntries:
        return 'has lost synced entries'
      case MissingReason.Behind:
        return `has ${matchIndex} of ${commitIndex} entries`
      case MissingReason.LearnerBehind:
        return `is a learner with ${matchIndex} of ${commitIndex} entries`
      case MissingReason.LearnerReady:
        return 'is a learner that has caught up'
      default:
        return exhaustive(reason)
    }
  }
}
