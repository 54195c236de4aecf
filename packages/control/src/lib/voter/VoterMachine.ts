import { exhaustive } from '@cherryhitch/model'
import type {
  EnvelopeBody,
  RoutingState,
  SettingsState,
  StartElection,
  VotersStatus,
} from '@cherryhitch/protocol'
import { Machine } from '@cherryhitch/runtime'
import type {
  AppendEntries,
  AppendReply,
  InstallSnapshot,
  VoteRequest,
} from '@cherryhitch/protocol'
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
import { completeOptions } from './VoterOptions'
import type { StoredVoter, VoterMachineOptions } from './VoterOptions'

type Received = Extract<ControlEvent, { kind: ControlEventKind.Received }>

/**
 * One voter (or learner) of the replicated log: elects, replicates, commits, applies.
 *
 * Its identity is the id of its disk, so that a wiped disk is a new member. Nothing that depends
 * on a synced write is sent before the event that it is synced.
 *
 * @public
 */
export class VoterMachine extends Machine<ControlEvent, ControlAction> {
  readonly #core: VoterCore
  readonly #election: Election
  readonly #follower: Follower
  readonly #strangers = new Set<string>()
  #leader: Leader | undefined

  constructor(options: VoterMachineOptions, stored: StoredVoter) {
    super()
    this.#core = new VoterCore(
      completeOptions(options),
      options.rules ?? new StrictQuorumRules(),
      stored,
    )
    this.#election = new Election(this.#core)
    this.#follower = new Follower(this.#core)
  }

  get role(): VoterRole {
    return this.#core.role
  }

  get term(): number {
    return this.#core.term
  }

  /** Instance that leads; empty while it is unknown. */
  get leader(): string {
    return this.#core.leader
  }

  get commitIndex(): number {
    return this.#core.commitIndex
  }

  /** Last index of the log, committed or not. */
  get lastIndex(): number {
    return this.#core.log.lastIndex
  }

  /** False after a failed write: only a restart tells what the disk holds. */
  get isHealthy(): boolean {
    return !this.#core.persist.failed
  }

  /** The newest settings that are known here to be committed. */
  get settings(): SettingsState | undefined {
    return this.#core.state?.settings
  }

  /** The routing of the highest version that is known here to be committed. */
  get routing(): RoutingState | undefined {
    return this.#core.state?.routing
  }

  /** True while this voter leads and holds everything that was committed before it. */
  get isEstablished(): boolean {
    return this.#leader?.isEstablished ?? false
  }

  /** When a majority last followed this voter as its leader; -Infinity if it doesn't lead. */
  confirmedAt(now: number): number {
    return this.#leader?.confirmedAt(now) ?? -Infinity
  }

  /** When this process last followed a leader of an earlier term; undefined if it never did. */
  followedBefore(term: number): number | undefined {
    return this.#core.followed.before(term)
  }

  /** The set of voters, as the leader sees it; undefined elsewhere. */
  status(now: number): VotersStatus | undefined {
    return this.#leader?.status(now)
  }

  override step(now: number, event: ControlEvent): readonly ControlAction[] {
    this.#handle(now, event)
    return this.#endStep(now)
  }

  /** Events that arrived together share one batch of writes and messages. */
  override stepAll(now: number, events: readonly ControlEvent[]): readonly ControlAction[] {
    for (const event of events) this.#handle(now, event)
    return this.#endStep(now)
  }

  override tick(now: number): readonly ControlAction[] {
    this.#election.tick(now)
    if (this.#leader !== undefined) this.#core.followed.note(now, this.#core.term)
    if (this.#leader?.tick(now) === false) {
      this.#stepDown(now, 'no answer from a majority')
    }
    return this.#endStep(now)
  }

  #endStep(now: number): readonly ControlAction[] {
    this.#leader?.settle(now)
    if (this.#leader !== undefined && this.#isRemoved()) this.#stepDown(now, 'it was removed')
    return this.#core.takeActions()
  }

  #handle(now: number, event: ControlEvent): void {
    switch (event.kind) {
      case ControlEventKind.Received:
        this.#receive(now, event)
        return
      case ControlEventKind.Persisted:
        for (const action of this.#core.persist.finish(event.id)) this.#core.emit(action)
        return
      case ControlEventKind.PersistFailed:
        this.#core.persist.fail()
        this.#core.say(`the disk failed, no vote or entry is acknowledged here: ${event.reason}`)
        this.#stepDown(now, 'its disk failed')
        return
      case ControlEventKind.HandOver:
        this.#leader?.handOver(now)
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
        this.#noteTerm(now, body.value.term, body.value.granted)
        if (this.#election.onReply(body.value)) this.#lead(now)
        return
      case 'appendEntries':
        if (this.#acceptsLeader(now, from, body.value)) this.#follower.onAppend(from, body.value)
        return
      case 'installSnapshot':
        if (this.#acceptsLeader(now, from, body.value)) this.#follower.onInstall(from, body.value)
        return
      case 'appendReply':
        this.#onAppendReply(now, body.value)
        return
      case 'startElection':
        this.#onStartElection(now, body.value)
        return
      default:
        this.#serve(now, from, boot, body)
    }
  }

  /** Requests of instances, which the leader serves. */
  #serve(now: number, from: string, boot: number, body: EnvelopeBody): void {
    switch (body.case) {
      case 'propose':
        if (this.#leader !== undefined) this.#leader.propose(now, from, body.value)
        else this.#sendOn(from, body.value.requestId)
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

  /** An answer without a result: nothing was accepted here; the leader is named if known. */
  #sendOn(to: string, requestId: string): void {
    const value = { requestId, leader: this.#core.leader }
    this.#core.send(to, { case: 'proposeReply', value })
  }

  #onVoteRequest(now: number, from: string, req: VoteRequest): void {
    this.#noteStranger(from, req.diskId)
    if (this.#election.ignores(req)) return
    if (!req.preVote && req.term > this.#core.term) this.#enterTerm(now, req.term)
    this.#election.onRequest(now, from, req)
  }

  /** A voter that was replaced while it was cut off does not know; an operator has to. */
  #noteStranger(from: string, diskId: string): void {
    if (this.#leader === undefined || this.#strangers.has(diskId)) return
    if (this.#core.members.some((member) => member.diskId === diskId)) return
    this.#strangers.add(diskId)
    this.#core.say(`disk ${diskId} on ${from} is no member any more; add it again as a learner`)
  }

  #onStartElection(now: number, { term, diskId }: StartElection): void {
    const { role } = this.#core
    if (term !== this.#core.term || diskId !== this.#core.diskId) return
    if (role === VoterRole.Follower) this.#election.startAtOnce(now)
  }

  #onAppendReply(now: number, reply: AppendReply): void {
    this.#noteTerm(now, reply.term, false)
    if (reply.term === this.#core.term) this.#leader?.onAppendReply(now, reply)
  }

  /** Follows the sender as the leader of the term, unless the message is old or for another disk. */
  #acceptsLeader(now: number, from: string, req: AppendEntries | InstallSnapshot): boolean {
    if (this.#core.persist.failed || this.#follower.isForeign(req.diskId)) return false
    if (req.term < this.#core.term) {
      const { term, diskId } = this.#core
      const value = { term, diskId, accepted: false, matchIndex: -1, round: req.round }
      this.#core.sendWhenDurable(from, { case: 'appendReply', value })
      return false
    }
    if (req.term > this.#core.term) this.#enterTerm(now, req.term)
    this.#core.setRole(VoterRole.Follower, from)
    this.#election.noteLeader(now)
    this.#core.followed.note(now, req.term)
    return true
  }

  /** A granted pre-vote names the term that the sender asked for, which nobody has entered yet. */
  #noteTerm(now: number, term: number, granted: boolean): void {
    if (granted || term <= this.#core.term || this.#core.isFresh) return
    this.#enterTerm(now, term)
  }

  #enterTerm(now: number, term: number): void {
    this.#core.setTerm(term, '')
    if (this.#leader !== undefined) this.#stepDown(now, `term ${term} began`)
    else this.#core.setRole(VoterRole.Follower, '')
  }

  #lead(now: number): void {
    this.#core.setRole(VoterRole.Leader, this.#core.config.instance)
    this.#core.say(`leads in term ${this.#core.term}`)
    this.#leader = new Leader(this.#core, now)
  }

  #stepDown(now: number, why: string): void {
    if (this.#leader !== undefined) this.#core.say(`stepped down: ${why}`)
    const leader = this.#leader
    this.#leader = undefined
    this.#core.setRole(VoterRole.Follower, '')
    this.#election.noteStepDown(now)
    leader?.stop()
  }

  /** True once the removal of this disk is committed. */
  #isRemoved(): boolean {
    const { state, diskId, members } = this.#core
    // After a restart the state may be older than the membership that the log gives.
    const isMember = [...members, ...(state?.voters ?? [])].some((voter) => voter.diskId === diskId)
    return !isMember
  }
}
