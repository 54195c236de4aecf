import { create } from '@bufbuild/protobuf'
import { CommandResult, CommandSchema, VoterChangeKind } from '@cherryhitch/protocol'
import type {
  AppendReply,
  Command,
  Propose,
  ReadControl,
  SettingsApplied,
  VotersStatus,
} from '@cherryhitch/protocol'
import { versionOfCommand } from '../state/commandVersion'
import { Proposals, stampClaimTimes } from './Proposals'
import { QuorumReads } from './QuorumReads'
import { Replication } from './Replication'
import { SettingsRollout } from './SettingsRollout'
import type { AppliedEntry, VoterCore } from './VoterCore'
import { VoterRepair } from './VoterRepair'
import { VoterSafety } from './VoterSafety'
import { makeVotersStatus } from './makeVotersStatus'
import { answerRead } from './answerRead'

/**
 * The leader role of a voter; a new object is created for each term that the voter wins.
 *
 * @internal
 */
export class Leader {
  readonly #core: VoterCore
  readonly #replication: Replication
  readonly #proposals: Proposals
  readonly #reads = new QuorumReads()
  readonly #rollout: SettingsRollout
  readonly #repair: VoterRepair
  readonly #safety: VoterSafety
  #heartbeatDueAt: number
  #repairCount = 0

  constructor(core: VoterCore, now: number) {
    this.#core = core
    this.#replication = new Replication(core, now)
    this.#proposals = new Proposals(core)
    this.#rollout = new SettingsRollout(core, now)
    this.#repair = new VoterRepair(core, this.#replication)
    this.#safety = new VoterSafety(core, this.#replication, now)
    this.#heartbeatDueAt = now
    // Committing this no-op of the new term also commits the entries of earlier terms.
    const commandId = `term.${core.diskId}.${core.term}`
    core.appendCommand(create(CommandSchema, { commandId, change: { case: 'noop', value: {} } }))
  }

  /** False if no majority was heard from within `electionMaxMs`: another leader may exist. */
  tick(now: number): boolean {
    const { heartbeatMs, electionMaxMs } = this.#core.config.timing
    if (this.#replication.countRecentlyHeard(now, electionMaxMs) < this.#core.majority) return false
    this.#rollout.tick(now)
    if (now < this.#heartbeatDueAt) return true
    this.#heartbeatDueAt = now + heartbeatMs
    this.#replication.sendHeartbeats(now)
    this.#safety.observe(now)
    this.#proposeRepair(now)
    return true
  }

  propose(now: number, from: string, req: Propose): void {
    const { command, requestId } = req
    if (command === undefined) return
    const { change, commandId } = command
    const refusal = this.#checkVersion(command)
    if (refusal !== undefined) {
      this.#proposals.refuse({ instance: from, requestId }, commandId, refusal)
      return
    }
    const isAnswered = this.#core.state?.answerTo(commandId) !== undefined
    if (change.case === 'changeVoters' && !isAnswered) {
      const checked = this.#repair.validate(now, change.value)
      if (checked.err) {
        this.#proposals.refuse({ instance: from, requestId }, commandId, checked.val)
        return
      }
    }
    this.#proposals.accept(from, { ...req, command: stampClaimTimes(now, command) })
  }

  /**
   * Why a command must not enter the log: a voter whose build does not know it would skip it, and
   * lose what the others acknowledge. Undefined if it may.
   */
  #checkVersion(command: Command): string | undefined {
    if (command.change.case === undefined) return 'the command is empty or of a later build'
    const [older] = this.#replication.membersBelow(versionOfCommand(command))
    if (older === undefined) return undefined
    return `the voter on ${older.instance} runs a build that does not know this command`
  }

  read(now: number, from: string, boot: number, req: ReadControl): void {
    this.#rollout.renewLease(now, from, boot)
    this.#reads.add({ from, req }, this.#replication.round)
  }

  onSettingsApplied(now: number, from: string, boot: number, req: SettingsApplied): void {
    this.#rollout.onSettingsApplied(now, from, boot, req)
  }

  onAppendReply(now: number, reply: AppendReply): void {
    this.#replication.onReply(now, reply)
  }

  /**
   * Runs after each step: sends new entries, advances the commit index, answers confirmed reads.
   */
  finishStep(now: number): void {
    const version = this.#core.state?.settings.version
    this.#replication.updateMembers(now)
    this.#commit()
    this.#replication.sendNewEntries(now)
    if (this.#core.state?.settings.version !== version) this.#rollout.notifyAll(now)
    this.#answerReads(now)
  }

  /** Ends the leadership: pending proposals are answered as unknown, reads as unconfirmed. */
  stop(): void {
    this.#proposals.abandonAll()
    for (const { from, req } of this.#reads.takeAll()) answerRead(this.#core, from, req, undefined)
  }

  /** See `Replication.confirmedAt`. */
  confirmedAt(now: number): number {
    return this.#replication.confirmedAt(now)
  }

  /** True once an entry of this term is committed: the state then contains all earlier commits. */
  get isEstablished(): boolean {
    const { log, commitIndex, term } = this.#core
    return log.termAt(commitIndex) === term
  }

  /**
   * Asks the voter with the most entries to start an election at once; false if no other voter was
   * heard from recently.
   */
  transferLeadership(now: number): boolean {
    const target = this.#replication.findTransferTarget(now)
    if (target === undefined) return false
    const { diskId, instance } = target
    this.#core.logLine(`transferring leadership to ${instance}`)
    const value = { term: this.#core.term, diskId }
    this.#core.send(instance, { case: 'startElection', value })
    return true
  }

  status(now: number): VotersStatus {
    return makeVotersStatus(now, this.#core, this.#replication, this.#safety)
  }

  #commit(): void {
    const index = this.#replication.majorityIndex()
    const term = this.#core.log.termAt(index)
    if (index <= this.#core.commitIndex || term === undefined) return
    if (!this.#core.rules.mayCommit(term, this.#core.term)) return
    for (const applied of this.#core.commitThrough(index)) {
      this.#proposals.onApplied(applied)
      this.#logMembershipChange(applied)
    }
    this.#core.compact()
  }

  #logMembershipChange({ entry, answer }: AppliedEntry): void {
    const { change } = entry.command ?? {}
    if (change?.case !== 'changeVoters') return
    const { kind, diskId, instance, operator, reason } = change.value
    const result = CommandResult[answer.result]
    const what = `${VoterChangeKind[kind]} of disk ${diskId} on ${instance}`
    this.#core.logLine(`${what} is committed for ${operator}: ${reason} (${result})`)
  }

  #answerReads(now: number): void {
    // Until the first commit of this term the state may lack entries that earlier leaders
    // committed.
    if (!this.isEstablished) return
    for (const { from, req } of this.#reads.takeConfirmed(this.#replication)) {
      answerRead(this.#core, from, req, this.status(now))
    }
  }

  #proposeRepair(now: number): void {
    const change = this.#repair.nextChange(now)
    if (change === undefined || this.#repair.validate(now, change).err) return
    const { diskId, term } = this.#core
    const commandId = `repair.${diskId}.${term}.${++this.#repairCount}`
    const command: Command = create(CommandSchema, {
      commandId,
      change: { case: 'changeVoters', value: change },
    })
    this.#core.appendCommand(command)
  }
}
