import type { VoteReply, VoteRequest } from '@cherryhitch/protocol'
import { SeededRandom } from '../util/SeededRandom'
import { VoterRole } from './ControlAction'
import type { VoterCore } from './VoterCore'

/** Decides when to ask for votes, and which to give. @internal */
export class Election {
  readonly #core: VoterCore
  readonly #random: SeededRandom
  readonly #votes = new Set<string>()
  #dueAt: number | undefined
  #heardLeaderAt = -Infinity

  constructor(core: VoterCore) {
    this.#core = core
    this.#random = new SeededRandom(core.config.seed)
  }

  /** Asks for an election when no leader was heard of for too long. */
  tick(now: number): void {
    if (this.#dueAt === undefined) this.#startTimer(now)
    const { role, isVoter, persist } = this.#core
    if (role === VoterRole.Leader || persist.failed) return
    if (now < (this.#dueAt ?? Infinity)) return
    this.#restartTimer(now)
    if (isVoter) this.#askBeforehand()
    else this.#core.setRole(VoterRole.Follower, '')
  }

  /** A leader of the current term was heard. */
  noteLeader(now: number): void {
    this.#heardLeaderAt = now
    this.#restartTimer(now)
  }

  /** The own leadership ended: others are to be heard out first. */
  noteStepDown(now: number): void {
    this.#heardLeaderAt = -Infinity
    this.#restartTimer(now)
  }

  /** The leader is about to end and asks this voter to follow it without waiting. */
  startAtOnce(now: number): void {
    this.#restartTimer(now)
    if (this.#core.isVoter && !this.#core.persist.failed) this.#ask()
  }

  /** True for a request that must not even be noted, so that a fresh voter stays fresh. */
  ignores(req: VoteRequest): boolean {
    return this.#core.persist.failed || (this.#core.isFresh && req.lastIndex > 0)
  }

  onRequest(now: number, from: string, req: VoteRequest): void {
    if (req.preVote) this.#answerBeforehand(now, from, req)
    else this.#answer(now, from, req)
  }

  /** True when the reply won the election. */
  onReply(reply: VoteReply): boolean {
    const { role, term } = this.#core
    const awaited = reply.preVote ? VoterRole.PreCandidate : VoterRole.Candidate
    const wantedTerm = reply.preVote ? term + 1 : term
    if (role !== awaited || !reply.granted || reply.term !== wantedTerm) return false
    if (!this.#core.counts(reply.diskId)) return false
    this.#votes.add(reply.diskId)
    if (this.#votes.size < this.#core.majority) return false
    if (!reply.preVote) return true
    this.#ask()
    return false
  }

  /** A pre-vote changes nothing anywhere, so a voter that comes back disturbs nobody. */
  #askBeforehand(): void {
    const core = this.#core
    core.setRole(VoterRole.PreCandidate, '')
    this.#votes.clear()
    this.#sendRequests(core.term + 1, true)
    // The own vote goes the same way as the others, for a set of one voter.
    const reply = { term: core.term + 1, diskId: core.diskId, granted: true, preVote: true }
    core.send(core.config.instance, { case: 'voteReply', value: reply })
  }

  #ask(): void {
    const core = this.#core
    core.setTerm(core.term + 1, core.diskId)
    core.setRole(VoterRole.Candidate, '')
    core.say(`asks for votes in term ${core.term}`)
    this.#votes.clear()
    this.#sendRequests(core.term, false)
    const reply = { term: core.term, diskId: core.diskId, granted: true, preVote: false }
    core.sendWhenDurable(core.config.instance, { case: 'voteReply', value: reply })
  }

  #sendRequests(term: number, preVote: boolean): void {
    const { log, members, diskId } = this.#core
    const { lastIndex, lastTerm } = log
    const value = { term, diskId, lastIndex, lastTerm, preVote }
    for (const member of members) {
      if (member.diskId === diskId || !this.#core.rules.counts(member)) continue
      this.#core.sendWhenDurable(member.instance, { case: 'voteRequest', value: value })
    }
  }

  #answerBeforehand(now: number, from: string, req: VoteRequest): void {
    const { term, log, diskId, role, config } = this.#core
    const leads = role === VoterRole.Leader
    const hearsLeader = now - this.#heardLeaderAt < config.timing.electionMinMs
    const covered = log.isCoveredBy(req.lastIndex, req.lastTerm)
    const granted = req.term > term && covered && !leads && !hearsLeader
    const value = { term: granted ? req.term : term, diskId, granted, preVote: true }
    this.#core.send(from, { case: 'voteReply', value: value })
  }

  #answer(now: number, from: string, req: VoteRequest): void {
    const core = this.#core
    const free = core.votedFor === '' || core.votedFor === req.diskId
    const covered = core.log.isCoveredBy(req.lastIndex, req.lastTerm)
    const granted = req.term === core.term && free && covered
    if (granted && core.votedFor === '') core.setTerm(core.term, req.diskId)
    if (granted) this.#restartTimer(now)
    const value = { term: core.term, diskId: core.diskId, granted, preVote: false }
    core.sendWhenDurable(from, { case: 'voteReply', value: value })
  }

  /** A voter that is the whole set needs not wait for anybody. */
  #startTimer(now: number): void {
    this.#restartTimer(now)
    const { isVoter, majority, members } = this.#core
    const isAlone = isVoter && majority === 1 && members.length === 1
    if (isAlone) this.#dueAt = now
  }

  #restartTimer(now: number): void {
    const { electionMinMs, electionMaxMs } = this.#core.config.timing
    this.#dueAt = now + this.#random.between(electionMinMs, electionMaxMs)
  }
}
