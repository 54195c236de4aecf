import type { AppendReply, Voter } from '@cherryhitch/protocol'
import { BASE_VERSION, COMMAND_VERSION } from '../state/commandVersion'
import { entriesWithin } from './entriesWithin'
import type { VoterCore } from './VoterCore'

/** Replication progress of one member, as the leader knows it. */
interface Progress {
  readonly diskId: string
  /** Last index that the member has synced; -1 while that is unknown. */
  matchIndex: number
  nextIndex: number
  /** When the entries or snapshot in flight were sent; undefined if none are in flight. */
  sentAt: number | undefined
  /** Round of the message that carried them. */
  sentRound: number
  sentSnapshot: boolean
  /**
   * The member answered a later round than that of the snapshot in flight. Messages arrive in the
   * order in which they were sent, so the snapshot or its reply is lost: the member was not there, or
   * its process or its disk failed meanwhile.
   */
  isSnapshotOvertaken: boolean
  /** When the last snapshot was sent; -Infinity before the first one. */
  snapshotSentAt: number
  /** Highest round that the member answered. */
  ackedRound: number
  /**
   * Last round sent when `matchIndex` last rose. Replies to it or to earlier rounds may contradict
   * `matchIndex`.
   */
  matchedRound: number
  heardAt: number
  /** Rounds that the member has not answered yet, oldest first. */
  readonly unansweredRounds: SentRound[]
  /** When the newest round that the member answered was sent. */
  confirmedAt: number
  /** The member lacks entries that it had acknowledged, so its disk must not be trusted. */
  lostEntries: boolean
  /** Newest version of commands that its build applies; undefined until its first reply. */
  commandVersion: number | undefined
}

interface SentRound {
  readonly round: number
  readonly sentAt: number
}

/** Rounds kept for a silent member: more than a leader sends before it steps down. */
const MAX_UNANSWERED_ROUNDS = 1_000

/** Sends the leader's log to the members and tracks what they have synced. @internal */
export class Replication {
  readonly #core: VoterCore
  readonly #members = new Map<string, Progress>()
  #round = 0

  constructor(core: VoterCore, now: number) {
    this.#core = core
    this.updateMembers(now)
  }

  /**
   * Number of the last message sent to any member. A reply to a later round shows that the member
   * still followed this leader after now.
   */
  get round(): number {
    return this.#round
  }

  /** Updates the tracked members after a membership change. */
  updateMembers(now: number): void {
    const { members, diskId: own, log } = this.#core
    const currentIds = new Set(members.map(({ diskId }) => diskId))
    for (const diskId of this.#members.keys()) {
      if (!currentIds.has(diskId)) this.#members.delete(diskId)
    }
    for (const { diskId } of members) {
      if (diskId === own || this.#members.has(diskId)) continue
      this.#members.set(diskId, newProgress(diskId, log.lastIndex + 1, now))
    }
  }

  /** Sends entries to every member that lacks some and has none in flight. */
  sendNewEntries(now: number): void {
    for (const [member, progress] of this.#otherMembers()) {
      const isBehind = progress.nextIndex <= this.#core.log.lastIndex
      if (isBehind && progress.sentAt === undefined) this.#sendNext(member, progress, now)
    }
  }

  /** Sends a heartbeat to every member; resends entries or a snapshot whose reply is overdue. */
  sendHeartbeats(now: number): void {
    for (const [member, progress] of this.#otherMembers()) {
      const resendAfterMs = this.#resendAfterMs(progress)
      if (progress.sentAt !== undefined && now - progress.sentAt >= resendAfterMs) {
        progress.sentAt = undefined
      }
      if (progress.sentAt === undefined) this.#sendNext(member, progress, now)
      else this.#sendEntries(member, progress, 0, now)
    }
  }

  #resendAfterMs({ sentSnapshot, isSnapshotOvertaken }: Progress): number {
    const { resendMs, snapshotResendMs, lostSnapshotResendMs } = this.#core.config.timing
    if (!sentSnapshot) return resendMs
    return isSnapshotOvertaken ? lostSnapshotResendMs : snapshotResendMs
  }

  onReply(now: number, reply: AppendReply): void {
    const progress = this.#members.get(reply.diskId)
    if (progress === undefined) return
    progress.heardAt = now
    progress.commandVersion = Math.max(BASE_VERSION, reply.commandVersion)
    progress.ackedRound = Math.max(progress.ackedRound, reply.round)
    recordAnsweredRound(progress, reply.round)
    // A reply to a heartbeat says nothing about the entries or snapshot still in flight.
    if (reply.round === progress.sentRound) progress.sentAt = undefined
    if (reply.round > progress.sentRound) progress.isSnapshotOvertaken = true
    if (reply.accepted) this.#advance(progress, reply.matchIndex)
    else this.#backtrack(progress, reply)
  }

  /** Highest index that a majority has synced. */
  majorityIndex(): number {
    const synced = this.#valuesOfVoters((diskId) => this.matchIndexOf(diskId))
    return synced[this.#core.majority - 1] ?? -1
  }

  /** Highest round that a majority has answered. */
  majorityRound(): number {
    const rounds = this.#valuesOfVoters((diskId) => {
      if (diskId === this.#core.diskId) return Infinity
      return this.#members.get(diskId)?.ackedRound ?? 0
    })
    return rounds[this.#core.majority - 1] ?? 0
  }

  /**
   * The latest time at which a majority is known to have followed this leader: when the newest
   * round that a majority answered was sent. A later leader can only have been elected after that
   * time.
   */
  confirmedAt(now: number): number {
    const times = this.#valuesOfVoters((diskId) => {
      if (diskId === this.#core.diskId) return now
      return this.#members.get(diskId)?.confirmedAt ?? -Infinity
    })
    return times[this.#core.majority - 1] ?? -Infinity
  }

  /** The voter with the most entries; undefined if no other voter was heard from recently. */
  findTransferTarget(now: number): Voter | undefined {
    const { electionMinMs } = this.#core.config.timing
    const others = this.#core.members.filter((member) => {
      if (member.diskId === this.#core.diskId || !this.#core.rules.hasVote(member)) return false
      return this.silentMs(now, member.diskId) < electionMinMs
    })
    return others.sort((a, b) => this.matchIndexOf(b.diskId) - this.matchIndexOf(a.diskId))[0]
  }

  /** Number of voters, this one included, that were heard from within the given time. */
  countRecentlyHeard(now: number, withinMs: number): number {
    const heard = this.#core.members.filter(({ diskId }) => {
      return this.#core.hasVote(diskId) && this.silentMs(now, diskId) <= withinMs
    })
    return heard.length
  }

  silentMs(now: number, diskId: string): number {
    if (diskId === this.#core.diskId) return 0
    const progress = this.#members.get(diskId)
    return progress === undefined ? Infinity : now - progress.heardAt
  }

  /** Last index that a member has synced; -1 while it is unknown or cannot be trusted. */
  matchIndexOf(diskId: string): number {
    if (diskId === this.#core.diskId) return this.#core.persist.durableIndex
    const progress = this.#members.get(diskId)
    return progress === undefined || progress.lostEntries ? -1 : progress.matchIndex
  }

  /** The members whose builds are known not to apply commands of the given version. */
  membersBelow(commandVersion: number): Voter[] {
    return this.#otherMembers().flatMap(([member, progress]) => {
      const known = progress.commandVersion ?? Infinity
      return known < commandVersion ? [member] : []
    })
  }

  hasLostEntries(diskId: string): boolean {
    return this.#members.get(diskId)?.lostEntries ?? false
  }

  #advance(progress: Progress, matchIndex: number): void {
    if (matchIndex > progress.matchIndex) {
      progress.matchIndex = matchIndex
      progress.matchedRound = this.#round
      progress.sentAt = undefined
    }
    // From here on every message starts after the last entry that the member is known to hold.
    progress.nextIndex = progress.matchIndex + 1
  }

  #backtrack(progress: Progress, { matchIndex, round }: AppendReply): void {
    // A reply to a round sent before `matchIndex` was known is out of date, whatever it says.
    if (progress.matchIndex >= 0 && round <= progress.matchedRound) return
    if (progress.sentAt !== undefined) return
    if (progress.matchIndex >= 0) this.#markEntriesLost(progress, matchIndex)
    progress.nextIndex = Math.min(Math.max(0, matchIndex + 1), this.#core.log.lastIndex + 1)
  }

  /** The member rejects entries that it had synced: it has lost them, and possibly its vote too. */
  #markEntriesLost(progress: Progress, lastIndex: number): void {
    const { diskId, matchIndex } = progress
    progress.matchIndex = -1
    if (progress.lostEntries) return
    progress.lostEntries = true
    this.#core.logLine(
      `disk ${diskId} lost synced entries (had ${matchIndex}, ends at ${lastIndex}): not counted`,
    )
  }

  #sendNext(member: Voter, progress: Progress, now: number): void {
    const { log, config } = this.#core
    if (progress.nextIndex <= log.baseIndex) {
      this.#sendSnapshot(member, progress, now)
      return
    }
    const sent = this.#sendEntries(member, progress, config.limits.entriesPerMessage, now)
    if (sent > 0) this.#recordSent(progress, now, false)
  }

  #recordSent(progress: Progress, now: number, sentSnapshot: boolean): void {
    progress.sentAt = now
    progress.sentRound = this.#round
    progress.sentSnapshot = sentSnapshot
    progress.isSnapshotOvertaken = false
  }

  #sendEntries(member: Voter, progress: Progress, limit: number, now: number): number {
    const { log, term, diskId: leaderDiskId, commitIndex, config } = this.#core
    const { entryBytesPerMessage } = config.limits
    const previousTerm = log.termAt(progress.nextIndex - 1)
    // For a member that needs a snapshot the message refers to index 0, which all members have.
    const previousIndex = previousTerm === undefined ? 0 : progress.nextIndex - 1
    const canSend = previousTerm !== undefined && limit > 0
    const waiting = canSend ? log.slice(progress.nextIndex, limit) : []
    const entries = entriesWithin(waiting, entryBytesPerMessage)
    const round = this.#beginRound(progress, now)
    const { diskId } = member
    const header = { term, leaderDiskId, diskId, previousIndex, previousTerm: previousTerm ?? 0 }
    const value = { ...header, entries, commitIndex, round, commandVersion: COMMAND_VERSION }
    this.#core.send(member.instance, { case: 'appendEntries', value })
    return entries.length
  }

  #sendSnapshot(member: Voter, progress: Progress, now: number): void {
    const { state, appliedIndex, log, term, diskId: leaderDiskId } = this.#core
    const lastTerm = log.termAt(appliedIndex)
    if (state === undefined || lastTerm === undefined) return
    const snapshot = state.snapshot(appliedIndex, lastTerm)
    this.#logSnapshot(member, progress, appliedIndex)
    progress.snapshotSentAt = now
    const round = this.#beginRound(progress, now)
    const value = { term, leaderDiskId, diskId: member.diskId, snapshot, round }
    this.#core.send(member.instance, { case: 'installSnapshot', value })
    this.#recordSent(progress, now, true)
  }

  /** Logs a snapshot, unless the member is silent and gets it again. */
  #logSnapshot({ diskId, instance }: Voter, progress: Progress, index: number): void {
    if (progress.heardAt < progress.snapshotSentAt) return
    this.#core.logLine(`sending a snapshot up to entry ${index} to disk ${diskId} on ${instance}`)
  }

  #beginRound({ unansweredRounds }: Progress, now: number): number {
    const round = ++this.#round
    unansweredRounds.push({ round, sentAt: now })
    if (unansweredRounds.length > MAX_UNANSWERED_ROUNDS) unansweredRounds.shift()
    return round
  }

  #otherMembers(): [Voter, Progress][] {
    return this.#core.members.flatMap((member) => {
      const progress = this.#members.get(member.diskId)
      return progress === undefined ? [] : [[member, progress] as [Voter, Progress]]
    })
  }

  /** A value for each member that has a vote, highest first. */
  #valuesOfVoters(valueOf: (diskId: string) => number): number[] {
    const voters = this.#core.members.filter((member) => this.#core.rules.hasVote(member))
    return voters.map(({ diskId }) => valueOf(diskId)).sort((a, b) => b - a)
  }
}

function newProgress(diskId: string, nextIndex: number, now: number): Progress {
  return {
    diskId,
    matchIndex: -1,
    nextIndex,
    sentAt: undefined,
    sentRound: 0,
    sentSnapshot: false,
    isSnapshotOvertaken: false,
    snapshotSentAt: -Infinity,
    ackedRound: 0,
    matchedRound: 0,
    heardAt: now,
    unansweredRounds: [],
    confirmedAt: -Infinity,
    lostEntries: false,
    commandVersion: undefined,
  }
}

function recordAnsweredRound(progress: Progress, round: number): void {
  const { unansweredRounds } = progress
  while (unansweredRounds[0] !== undefined && unansweredRounds[0].round <= round) {
    progress.confirmedAt = Math.max(progress.confirmedAt, unansweredRounds[0].sentAt)
    unansweredRounds.shift()
  }
}
