import { exhaustive } from '@cherryhitch/model'
import type {
  EnvelopeBody,
  RoutingState,
  SettingsState,
  StartElection,
  VotersStatus,
} from '@cherryhitch/protocol'
import { StateMachine } from '@cherryhitch/runtime'
import type {
  AppendEntries,
  AppendReply,
  InstallSnapshot,
  VoteRequest,
} from '@cherryhitch/protocol'
import { COMMAND_VERSION } from '../state/commandVersion'
import { answerRead } from './answerRead'
import { VoterRole } from './ControlAction'
import type { ControlAction } from './ControlAction'
import { ControlEventKind } from './ControlEvent'
import type { ControlEvent } from './ControlEvent'
import { Election } from './Election'
import { Follower } from './Follower'
import { Leader } from './Leader'
import { StrictQuorumRules } from './QuorumRules'
import { VoterCore } from './VoterCore'
import { resolveOptions } from './VoterOptions'
import type { StoredVoter, VoterMachineOptions } from './VoterOptions'

type Received = Extract<ControlEvent, { kind: ControlEventKind.Received }>

/**
 * One voter or learner of the replicated log, as a state machine in the manner of Raft: takes part
 * in elections, replicates and commits entries, and applies them.
 *
 * A member is identified by the id of its disk, so a wiped disk is a new member. A message that
 * depends on a write is sent only after the `Persisted` event for that write.
 *
 * @public
 */
export class VoterMachine extends StateMachine<ControlEvent, ControlAction> {
  readonly #core: VoterCore
  readonly #election: Election
  readonly #follower: Follower
  readonly #reportedDisks = new Set<string>()
  #leader: Leader | undefined

  constructor(options: VoterMachineOptions, stored: StoredVoter) {
    super()
    this.#core = new VoterCore(
      resolveOptions(options),
      options.rules ?? new StrictQuorumRules(),
      stored,
    )
    this.#election = new Election(this.#core)
    this.#follower = new Follower(this.#core)
  }

  /** Id of the disk, by which the other voters know this one. */
  get diskId(): string {
    return this.#core.diskId
  }

  get role(): VoterRole {
    return this.#core.role
  }

  get term(): number {
    return this.#core.term
  }

  /** The leader's instance; empty while no leader is known. */
  get leader(): string {
    return this.#core.leader
  }

  /**
   * Newest version of commands that the leader's build applies; the oldest one while no leader is
   * known.
   */
  get leaderCommandVersion(): number {
    return this.#core.leaderCommandVersion
  }

  get commitIndex(): number {
    return this.#core.commitIndex
  }

  /** Index of the last log entry, committed or not. */
  get lastIndex(): number {
    return this.#core.log.lastIndex
  }

  /**
   * False after a failed write: the contents of the disk are unknown until they are read back, into
   * a new machine.
   */
  get isHealthy(): boolean {
    return !this.#core.persist.failed
  }

  /** The newest settings that this voter knows to be committed. */
  get settings(): SettingsState | undefined {
    return this.#core.state?.settings
  }

  /** The routing of the highest version that this voter knows to be committed. */
  get routing(): RoutingState | undefined {
    return this.#core.state?.routing
  }

  /** True while this voter leads and its state contains everything committed in earlier terms. */
  get isEstablished(): boolean {
    return this.#leader?.isEstablished ?? false
  }

  /** When a majority last confirmed this voter as leader; -Infinity if it does not lead. */
  confirmedAt(now: number): number {
    return this.#leader?.confirmedAt(now) ?? -Infinity
  }

  /**
   * When this process last followed a leader of a term before `term`; undefined if it never did.
   */
  followedBefore(term: number): number | undefined {
    return this.#core.followedLeaders.lastFollowedBefore(term)
  }

  /** When this process last followed a leader; undefined if it never did. */
  get lastFollowedAt(): number | undefined {
    return this.#core.followedLeaders.lastFollowedAt
  }

  /** Status of the voters as the leader sees it; undefined if this voter does not lead. */
  status(now: number): VotersStatus | undefined {
    return this.#leader?.status(now)
  }

  override step(now: number, event: ControlEvent): readonly ControlAction[] {
    this.#handle(now, event)
    return this.#finishStep(now)
  }

  /** Events that arrive together share one batch of writes and messages. */
  override stepAll(now: number, events: readonly ControlEvent[]): readonly ControlAction[] {
    for (const event of events) this.#handle(now, event)
    return this.#finishStep(now)
  }

  override tick(now: number): readonly ControlAction[] {
    this.#election.tick(now)
    if (this.#leader !== undefined) this.#core.followedLeaders.record(now, this.#core.term)
    if (this.#leader?.tick(now) === false) {
      this.#stepDown(now, 'no reply from a majority within the election timeout')
    }
    return this.#finishStep(now)
  }

  #finishStep(now: number): readonly ControlAction[] {
    this.#leader?.finishStep(now)
    if (this.#leader !== undefined && this.#isRemoved()) this.#stepDown(now, 'its disk was removed')
    return this.#core.takeActions()
  }

  #handle(now: number, event: ControlEvent): void {
    switch (event.kind) {
      case ControlEventKind.Received:
        this.#receive(now, event)
        return
      case ControlEventKind.Persisted:
        for (const action of this.#core.persist.completeBatch(event.id)) this.#core.emit(action)
        return
      case ControlEventKind.PersistFailed:
        // The others need not wait for the election timeout.
        this.#leader?.transferLeadership(now)
        this.#core.persist.markFailed()
        this.#core.logLine(
          `disk write failed; no vote or entry is acknowledged until the disk is read back: ${event.reason}`,
        )
        this.#stepDown(now, 'its disk failed')
        return
      case ControlEventKind.TransferLeadership:
        this.#leader?.transferLeadership(now)
        return
      default:
        exhaustive(event)
    }
  }

  #receive(now: number, event: Received): void {
    const { from, boot, body } = event
    switch (body.case) {
      case 'voteRequest':
        this.#onVoteRequest(now, from, body.value)
        return
      case 'voteReply':
        this.#observeTerm(now, body.value.term, body.value.granted)
        if (this.#election.onReply(now, body.value)) this.#becomeLeader(now)
        return
      case 'appendEntries':
        if (this.#followLeader(now, from, body.value)) this.#follower.onAppend(from, body.value)
        return
      case 'installSnapshot':
        if (this.#followLeader(now, from, body.value)) this.#follower.onInstall(from, body.value)
        return
      case 'appendReply':
        this.#onAppendReply(now, body.value)
        return
      case 'startElection':
        this.#onStartElection(now, body.value)
        return
      default:
        this.#handleRequest(now, from, boot, body)
    }
  }

  /** Handles requests of instances; only the leader can serve proposals and confirmed reads. */
  #handleRequest(now: number, from: string, boot: number, body: EnvelopeBody): void {
    switch (body.case) {
      case 'propose':
        if (this.#leader !== undefined) this.#leader.propose(now, from, body.value)
        else this.#replyNotLeader(from, body.value.requestId)
        return
      case 'readControl':
        if (this.#leader !== undefined) this.#leader.read(now, from, boot, body.value)
        else answerRead(this.#core, from, body.value, undefined)
        return
      case 'settingsApplied':
        this.#leader?.onSettingsApplied(now, from, boot, body.value)
        return
      default:
    }
  }

  /** Replies without a result: nothing was accepted; the leader is named if it is known. */
  #replyNotLeader(to: string, requestId: string): void {
    const value = { requestId, leader: this.#core.leader }
    this.#core.send(to, { case: 'proposeReply', value })
  }

  #onVoteRequest(now: number, from: string, req: VoteRequest): void {
    this.#reportNonMember(from, req.diskId)
    if (this.#election.mustIgnore(req)) return
    if (!req.preVote && req.term > this.#core.term) this.#enterTerm(now, req.term)
    this.#election.onRequest(now, from, req)
  }

  /**
   * Logs once per disk that a vote request came from a disk outside the set. A voter that was
   * replaced while partitioned does not know that it was removed, so the operator has to be told.
   */
  #reportNonMember(from: string, diskId: string): void {
    if (this.#leader === undefined || this.#reportedDisks.has(diskId)) return
    if (this.#core.members.some((member) => member.diskId === diskId)) return
    this.#reportedDisks.add(diskId)
    this.#core.logLine(`disk ${diskId} on ${from} is no member any more; add it again as a learner`)
  }

  #onStartElection(now: number, { term, diskId }: StartElection): void {
    const { role } = this.#core
    if (term !== this.#core.term || diskId !== this.#core.diskId) return
    if (role === VoterRole.Follower) this.#election.startImmediately(now)
  }

  #onAppendReply(now: number, reply: AppendReply): void {
    this.#observeTerm(now, reply.term, false)
    if (reply.term === this.#core.term) this.#leader?.onAppendReply(now, reply)
  }

  /**
   * Accepts the sender as the leader of its term and resets the election timer. False if the
   * message is of an earlier term or for another disk, or if the own disk has failed.
   */
  #followLeader(now: number, from: string, req: AppendEntries | InstallSnapshot): boolean {
    if (this.#core.persist.failed || this.#follower.isForOtherDisk(req.diskId)) return false
    if (req.term < this.#core.term) {
      const { term, diskId } = this.#core
      const refused = { accepted: false, matchIndex: -1, commandVersion: COMMAND_VERSION }
      const value = { term, diskId, round: req.round, ...refused }
      this.#core.sendWhenDurable(from, { case: 'appendReply', value })
      return false
    }
    if (req.term > this.#core.term) this.#enterTerm(now, req.term)
    this.#core.setRole(VoterRole.Follower, from)
    this.#election.onLeaderContact(now)
    this.#core.followedLeaders.record(now, req.term)
    return true
  }

  /**
   * Enters a later term that a reply names. A granted pre-vote names the term that was asked for,
   * which no voter has entered yet, so it is skipped.
   */
  #observeTerm(now: number, term: number, granted: boolean): void {
    if (granted || term <= this.#core.term || this.#core.isFresh) return
    this.#enterTerm(now, term)
  }

  #enterTerm(now: number, term: number): void {
    this.#core.setTerm(term, '')
    if (this.#leader !== undefined) this.#stepDown(now, `term ${term} began`)
    else this.#core.setRole(VoterRole.Follower, '')
  }

  #becomeLeader(now: number): void {
    this.#core.setRole(VoterRole.Leader, this.#core.config.instance)
    this.#core.logLine(`became leader in term ${this.#core.term}`)
    this.#leader = new Leader(this.#core, now)
  }

  #stepDown(now: number, why: string): void {
    if (this.#leader !== undefined) this.#core.logLine(`stepped down as leader: ${why}`)
    const leader = this.#leader
    this.#leader = undefined
    this.#core.setRole(VoterRole.Follower, '')
    this.#election.onStepDown(now)
    leader?.stop()
  }

  /** True once the removal of this disk from the voter set is committed. */
  #isRemoved(): boolean {
    const { state, diskId, members } = this.#core
    // After a restart the applied state may be older than the membership recorded in the log.
    const isMember = [...members, ...(state?.voters ?? [])].some((voter) => voter.diskId === diskId)
    return !isMember
  }
}
