import type { AppendReply, Voter } from '@cherryhitch/protocol'
import type { VoterCore } from './VoterCore'

/** How far a member has come, as its leader knows. */
interface Progress {
  readonly diskId: string
  /** Last index that it has synced; -1 while that is unknown. */
  match: number
  next: number
  /** When and with which round the entries were sent that are not yet answered. */
  sentAt: number | undefined
  sentRound: number
  sentSnapshot: boolean
  /** Highest round that it answered. */
  ackedRound: number
  /** Last round that was sent before `match` was known: older answers may contradict it. */
  matchedRound: number
  heardAt: number
  /** Rounds that it has not answered yet, oldest first, and when each was sent. */
  readonly openRounds: SentRound[]
  /** When the newest round was sent that it answered. */
  confirmedAt: number
  /** It once acknowledged entries that it has no more: its disk must not be trusted. */
  lostEntries: boolean
}

interface SentRound {
  readonly round: number
  readonly sentAt: number
}

/** Rounds remembered for a silent member: more than a leader sends before it steps down. */
const MAX_OPEN_ROUNDS = 1_000

/** Sends the leader's log to the members and counts what they have synced. @internal */
export class Replication {
  readonly #core: VoterCore
  readonly #members = new Map<string, Progress>()
  #round = 0

  constructor(core: VoterCore, now: number) {
    this.#core = core
    this.refresh(now)
  }

  /** Round of the last message; what is answered to a later one proves leadership after now. */
  get round(): number {
    return this.#round
  }

  /** Follows the set of members after a change. */
  refresh(now: number): void {
    const { members, diskId: own, log } = this.#core
    const wanted = new Set(members.map(({ diskId }) => diskId))
    for (const diskId of this.#members.keys()) {
      if (!wanted.has(diskId)) this.#members.delete(diskId)
    }
    for (const { diskId } of members) {
      if (diskId === own || this.#members.has(diskId)) continue
      this.#members.set(diskId, newProgress(diskId, log.lastIndex + 1, now))
    }
  }

  /** Sends entries to every member that lacks some and has none under way. */
  sendNew(now: number): void {
    for (const [member, progress] of this.#others()) {
      const lacks = progress.next <= this.#core.log.lastIndex
      if (lacks && progress.sentAt === undefined) this.#sendTo(member, progress, now)
    }
  }

  /** Lets every member know that the leader is there; repeats what was not answered. */
  sendHeartbeats(now: number): void {
    const { resendMs, snapshotResendMs } = this.#core.config.timing
    for (const [member, progress] of this.#others()) {
      const limit = progress.sentSnapshot ? snapshotResendMs : resendMs
      if (progress.sentAt !== undefined && now - progress.sentAt >= limit) {
        progress.sentAt = undefined
      }
      if (progress.sentAt === undefined) this.#sendTo(member, progress, now)
      else this.#sendEntries(member, progress, 0, now)
    }
  }

  onReply(now: number, reply: AppendReply): void {
    const progress = this.#members.get(reply.diskId)
    if (progress === undefined) return
    progress.heardAt = now
    progress.ackedRound = Math.max(progress.ackedRound, reply.round)
    noteConfirmed(progress, reply.round)
    // A heartbeat that is answered says nothing of what is still on its way.
    if (reply.round === progress.sentRound) progress.sentAt = undefined
    if (reply.accepted) this.#advance(progress, reply.matchIndex)
    else this.#goBack(progress, reply)
  }

  /** The last index that a majority has synced. */
  majorityIndex(): number {
    const synced = this.#counting((diskId) => this.matchOf(diskId))
    return synced[this.#core.majority - 1] ?? -1
  }

  /** The last round that a majority has answered. */
  majorityRound(): number {
    const rounds = this.#counting((diskId) => {
      if (diskId === this.#core.diskId) return Infinity
      return this.#members.get(diskId)?.ackedRound ?? 0
    })
    return rounds[this.#core.majority - 1] ?? 0
  }

  /**
   * The latest time at which a majority is known to have followed this leader: the sending of the
   * newest round that it answered. Whoever was elected after it has a later majority.
   */
  confirmedAt(now: number): number {
    const times = this.#counting((diskId) => {
      if (diskId === this.#core.diskId) return now
      return this.#members.get(diskId)?.confirmedAt ?? -Infinity
    })
    return times[this.#core.majority - 1] ?? -Infinity
  }

  /** The voter that is closest to the whole log; undefined when there is no other. */
  nextLeader(now: number): Voter | undefined {
    const { electionMinMs } = this.#core.config.timing
    const others = this.#core.members.filter((member) => {
      if (member.diskId === this.#core.diskId || !this.#core.rules.counts(member)) return false
      return this.silentMs(now, member.diskId) < electionMinMs
    })
    return others.sort((a, b) => this.matchOf(b.diskId) - this.matchOf(a.diskId))[0]
  }

  /** Voters, this one included, that were heard within the given time. */
  countHeard(now: number, withinMs: number): number {
    const heard = this.#core.members.filter(({ diskId }) => {
      return this.#core.counts(diskId) && this.silentMs(now, diskId) <= withinMs
    })
    return heard.length
  }

  silentMs(now: number, diskId: string): number {
    if (diskId === this.#core.diskId) return 0
    const progress = this.#members.get(diskId)
    return progress === undefined ? Infinity : now - progress.heardAt
  }

  /** Last index that a member has synced; -1 while that is unknown or can't be trusted. */
  matchOf(diskId: string): number {
    if (diskId === this.#core.diskId) return this.#core.persist.durableIndex
    const progress = this.#members.get(diskId)
    return progress === undefined || progress.lostEntries ? -1 : progress.match
  }

  hasLostEntries(diskId: string): boolean {
    return this.#members.get(diskId)?.lostEntries ?? false
  }

  #advance(progress: Progress, matchIndex: number): void {
    if (matchIndex > progress.match) {
      progress.match = matchIndex
      progress.matchedRound = this.#round
      progress.sentAt = undefined
    }
    // From here on every message goes on from what is known to be there.
    progress.next = progress.match + 1
  }

  #goBack(progress: Progress, { matchIndex, round }: AppendReply): void {
    // An answer to what was sent before the match was known is late, whatever it says.
    if (progress.match >= 0 && round <= progress.matchedRound) return
    if (progress.sentAt !== undefined) return
    if (progress.match >= 0) this.#distrust(progress, matchIndex)
    progress.next = Math.min(Math.max(0, matchIndex + 1), this.#core.log.lastIndex + 1)
  }

  /** It refuses what it had synced: then it has lost that, and maybe its vote as well. */
  #distrust(progress: Progress, matchIndex: number): void {
    const { diskId, match } = progress
    progress.match = -1
    if (progress.lostEntries) return
    progress.lostEntries = true
    this.#core.say(
      `disk ${diskId} had synced up to ${match}, now ends at ${matchIndex}: not counted`,
    )
  }

  #sendTo(member: Voter, progress: Progress, now: number): void {
    const { log, config } = this.#core
    if (progress.next <= log.baseIndex) {
      this.#sendSnapshot(member, progress, now)
      return
    }
    const sent = this.#sendEntries(member, progress, config.limits.entriesPerMessage, now)
    if (sent > 0) this.#noteSent(progress, now, false)
  }

  #noteSent(progress: Progress, now: number, sentSnapshot: boolean): void {
    progress.sentAt = now
    progress.sentRound = this.#round
    progress.sentSnapshot = sentSnapshot
  }

  #sendEntries(member: Voter, progress: Progress, limit: number, now: number): number {
    const { log, term, diskId: leaderDiskId, commitIndex } = this.#core
    const previousTerm = log.termAt(progress.next - 1)
    // Behind a member that needs a snapshot there is nothing but the start, which all have.
    const previousIndex = previousTerm === undefined ? 0 : progress.next - 1
    const goesOn = previousTerm !== undefined && limit > 0
    const entries = goesOn ? log.slice(progress.next, limit) : []
    const round = this.#beginRound(progress, now)
    const { diskId } = member
    const place = { term, leaderDiskId, diskId, previousIndex, previousTerm: previousTerm ?? 0 }
    const value = { ...place, entries, commitIndex, round }
    this.#core.send(member.instance, { case: 'appendEntries', value })
    return entries.length
  }

  #sendSnapshot(member: Voter, progress: Progress, now: number): void {
    const { state, appliedIndex, log, term, diskId: leaderDiskId } = this.#core
    const lastTerm = log.termAt(appliedIndex)
    if (state === undefined || lastTerm === undefined) return
    const snapshot = state.snapshot(appliedIndex, lastTerm)
    const round = this.#beginRound(progress, now)
    const value = { term, leaderDiskId, diskId: member.diskId, snapshot, round }
    this.#core.send(member.instance, { case: 'installSnapshot', value })
    this.#noteSent(progress, now, true)
  }

  #beginRound({ openRounds }: Progress, now: number): number {
    const round = ++this.#round
    openRounds.push({ round, sentAt: now })
    if (openRounds.length > MAX_OPEN_ROUNDS) openRounds.shift()
    return round
  }

  #others(): [Voter, Progress][] {
    return this.#core.members.flatMap((member) => {
      const progress = this.#members.get(member.diskId)
      return progress === undefined ? [] : [[member, progress] as [Voter, Progress]]
    })
  }

  /** A number of each member that counts, the highest first. */
  #counting(numberOf: (diskId: string) => number): number[] {
    const counting = this.#core.members.filter((member) => this.#core.rules.counts(member))
    return counting.map(({ diskId }) => numberOf(diskId)).sort((a, b) => b - a)
  }
}

function newProgress(diskId: string, next: number, now: number): Progress {
  return {
    diskId,
    match: -1,
    next,
    sentAt: undefined,
    sentRound: 0,
    sentSnapshot: false,
    ackedRound: 0,
    matchedRound: 0,
    heardAt: now,
    openRounds: [],
    confirmedAt: -Infinity,
    lostEntries: false,
  }
}

function noteConfirmed(progress: Progress, round: number): void {
  const { openRounds } = progress
  while (openRounds[0] !== undefined && openRounds[0].round <= round) {
    progress.confirmedAt = Math.max(progress.confirmedAt, openRounds[0].sentAt)
    openRounds.shift()
  }
}
