import type { VoteReply, VoteRequest } from '@cherryhitch/protocol'
import { SeededRandom } from '../util/SeededRandom'
import { VoterRole } from './ControlAction'
import type { VoterCore } from './VoterCore'

/** Decides when to start an election, and answers vote requests of other candidates. @internal */
export class Election {
  readonly #core: VoterCore
  readonly #random: SeededRandom
  readonly #votes = new Set<string>()
  #electionDueAt: number | undefined
  #lastLeaderContactAt = -Infinity
  /** Whether this process has followed or been a leader. */
  #hasHeardLeader: boolean

  constructor(core: VoterCore) {
    this.#core = core
    this.#random = new SeededRandom(core.config.seed)
    this.#hasHeardLeader = core.followedLeaders.lastFollowedAt !== undefined
  }

  /** Starts a pre-vote when the election timeout has passed without contact from a leader. */
  tick(now: number): void {
    if (this.#electionDueAt === undefined) this.#startTimer(now)
    const { role, mayLead, persist } = this.#core
    if (role === VoterRole.Leader || persist.failed) return
    if (now < (this.#electionDueAt ?? Infinity)) return
    this.#restartTimer(now)
    if (mayLead) this.#startPreVote()
    else this.#core.setRole(VoterRole.Follower, '')
  }

  /** Called on each message from the leader of the current term. */
  onLeaderContact(now: number): void {
    this.#lastLeaderContactAt = now
    this.#hasHeardLeader = true
    this.#restartTimer(now)
  }

  /**
   * Called when this voter stops leading: it may grant pre-votes at once, and waits a full election
   * timeout before it starts its own.
   */
  onStepDown(now: number): void {
    this.#hasHeardLeader = true
    this.#lastLeaderContactAt = -Infinity
    this.#restartTimer(now)
  }

  /**
   * Starts an election without waiting for the timeout, at the request of a leader that is
   * stopping.
   */
  startImmediately(now: number): void {
    if (this.#core.mayLead && !this.#core.persist.failed) this.#startElection(now)
    else this.#restartTimer(now)
  }

  /** True for a request that must not change any state here, so that `isFresh` stays true. */
  mustIgnore(req: VoteRequest): boolean {
    return this.#core.persist.failed || (this.#core.isFresh && req.lastIndex > 0)
  }

  onRequest(now: number, from: string, req: VoteRequest): void {
    if (req.preVote) this.#answerPreVote(now, from, req)
    else this.#answerVote(now, from, req)
  }

  /** Counts the vote; true if it completes the majority that wins the election. */
  onReply(now: number, reply: VoteReply): boolean {
    const { role, term } = this.#core
    const expectedRole = reply.preVote ? VoterRole.PreCandidate : VoterRole.Candidate
    const expectedTerm = reply.preVote ? term + 1 : term
    if (role !== expectedRole || !reply.granted || reply.term !== expectedTerm) return false
    if (!this.#core.hasVote(reply.diskId)) return false
    this.#votes.add(reply.diskId)
    if (this.#votes.size < this.#core.majority) return false
    if (!reply.preVote) return true
    this.#startElection(now)
    return false
  }

  /** A pre-vote changes no state, so a voter that returns from a partition disrupts no leader. */
  #startPreVote(): void {
    const core = this.#core
    core.setRole(VoterRole.PreCandidate, '')
    this.#votes.clear()
    this.#sendRequests(core.term + 1, true)
    // The own vote goes through the same path, so that a set of a single voter works too.
    const reply = { term: core.term + 1, diskId: core.diskId, granted: true, preVote: true }
    core.send(core.config.instance, { case: 'voteReply', value: reply })
  }

  #startElection(now: number): void {
    const core = this.#core
    core.setTerm(core.term + 1, core.diskId)
    core.setRole(VoterRole.Candidate, '')
    this.#restartTimer(now)
    core.logLine(`starting election for term ${core.term}`)
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
      if (member.diskId === diskId || !this.#core.rules.hasVote(member)) continue
      this.#core.sendWhenDurable(member.instance, { case: 'voteRequest', value: value })
    }
  }

  #answerPreVote(now: number, from: string, req: VoteRequest): void {
    const { term, log, diskId, role, config } = this.#core
    const isLeader = role === VoterRole.Leader
    const hasRecentLeader = now - this.#lastLeaderContactAt < config.timing.electionMinMs
    const isUpToDate = log.isOtherUpToDate(req.lastIndex, req.lastTerm)
    const granted = req.term > term && isUpToDate && !isLeader && !hasRecentLeader
    const value = { term: granted ? req.term : term, diskId, granted, preVote: true }
    this.#core.send(from, { case: 'voteReply', value: value })
  }

  #answerVote(now: number, from: string, req: VoteRequest): void {
    const core = this.#core
    const isVoteAvailable = core.votedFor === '' || core.votedFor === req.diskId
    const isUpToDate = core.log.isOtherUpToDate(req.lastIndex, req.lastTerm)
    const granted = req.term === core.term && isVoteAvailable && isUpToDate
    if (granted && core.votedFor === '') core.setTerm(core.term, req.diskId)
    if (granted) this.#restartTimer(now)
    const value = { term: core.term, diskId: core.diskId, granted, preVote: false }
    core.sendWhenDurable(from, { case: 'voteReply', value: value })
  }

  /** Starts the election timer; a voter that is the only member starts its election at once. */
  #startTimer(now: number): void {
    this.#restartTimer(now)
    const { isVoter, majority, members } = this.#core
    const isOnlyMember = isVoter && majority === 1 && members.length === 1
    if (isOnlyMember) this.#electionDueAt = now
  }

  #restartTimer(now: number): void {
    const { config, role } = this.#core
    const { timing } = config
    // Votes are synced and take longer than pre-votes, so a candidate always waits for them.
    const waitsBriefly = !this.#hasHeardLeader && role !== VoterRole.Candidate
    const [minMs, maxMs] = waitsBriefly
      ? [timing.heartbeatMs, timing.startupElectionMaxMs]
      : [timing.electionMinMs, timing.electionMaxMs]
    this.#electionDueAt = now + this.#random.between(minMs, maxMs)
  }
}
