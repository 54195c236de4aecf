import { create } from '@bufbuild/protobuf'
import { CommandSchema } from '@cherryhitch/protocol'
import type {
  AppendReply,
  Command,
  Propose,
  ReadControl,
  SettingsApplied,
  VotersStatus,
} from '@cherryhitch/protocol'
import { Proposals, stampClaims } from './Proposals'
import { QuorumReads } from './QuorumReads'
import { Replication } from './Replication'
import { SettingsSpread } from './SettingsSpread'
import type { VoterCore } from './VoterCore'
import { VoterRepair } from './VoterRepair'
import { describeVoters } from './describeVoters'
import { answerRead } from './answerRead'

/** What a voter does while it leads; made anew with each term that it wins. @internal */
export class Leader {
  readonly #core: VoterCore
  readonly #replication: Replication
  readonly #proposals: Proposals
  readonly #reads = new QuorumReads()
  readonly #spread: SettingsSpread
  readonly #repair: VoterRepair
  #heartbeatDueAt: number
  #repairs = 0

  constructor(core: VoterCore, now: number) {
    this.#core = core
    this.#replication = new Replication(core, now)
    this.#proposals = new Proposals(core)
    this.#spread = new SettingsSpread(core, now)
    this.#repair = new VoterRepair(core, this.#replication)
    this.#heartbeatDueAt = now
    // Entries of earlier terms are committed together with this one.
    const commandId = `term.${core.diskId}.${core.term}`
    core.appendCommand(create(CommandSchema, { commandId, change: { case: 'noop', value: {} } }))
  }

  /** False when no majority was heard for so long that another leader may exist. */
  tick(now: number): boolean {
    const { heartbeatMs, electionMaxMs } = this.#core.config.timing
    if (this.#replication.countHeard(now, electionMaxMs) < this.#core.majority) return false
    this.#spread.tick(now)
    if (now < this.#heartbeatDueAt) return true
    this.#heartbeatDueAt = now + heartbeatMs
    this.#replication.sendHeartbeats(now)
    this.#proposeRepair(now)
    return true
  }

  propose(now: number, from: string, req: Propose): void {
    const { command, requestId } = req
    if (command === undefined) return
    const { change, commandId } = command
    const known = this.#core.state?.answerTo(commandId) !== undefined
    if (change.case === 'changeVoters' && !known) {
      const checked = this.#repair.check(now, change.value)
      if (checked.err) {
        this.#proposals.refuse({ instance: from, requestId }, commandId, checked.val)
        return
      }
    }
    this.#proposals.accept(from, { ...req, command: stampClaims(now, command) })
  }

  read(now: number, from: string, boot: number, req: ReadControl): void {
    this.#spread.noteRead(now, from, boot)
    this.#reads.add({ from, req }, this.#replication.round)
  }

  onSettingsApplied(now: number, from: string, boot: number, req: SettingsApplied): void {
    this.#spread.noteApplied(now, from, boot, req)
  }

  onAppendReply(now: number, reply: AppendReply): void {
    this.#replication.onReply(now, reply)
  }

  /** After each step: sends what is new, commits what a majority has, answers who waits. */
  settle(now: number): void {
    const version = this.#core.state?.settings.version
    this.#replication.refresh(now)
    this.#commit()
    this.#replication.sendNew(now)
    if (this.#core.state?.settings.version !== version) this.#spread.announce(now)
    this.#answerReads(now)
  }

  /** Ends the leadership: everyone who waits gets a truthful answer. */
  stop(): void {
    this.#proposals.giveUp()
    for (const { from, req } of this.#reads.takeAll()) answerRead(this.#core, from, req, undefined)
  }

  /** See `Replication.confirmedAt`. */
  confirmedAt(now: number): number {
    return this.#replication.confirmedAt(now)
  }

  /** True once an entry of the own term is committed: the state then lacks nothing. */
  get isEstablished(): boolean {
    const { log, commitIndex, term } = this.#core
    return log.termAt(commitIndex) === term
  }

  /** Asks the voter that has most of the log to take over at once; false when there is none. */
  handOver(now: number): boolean {
    const next = this.#replication.nextLeader(now)
    if (next === undefined) return false
    const { diskId, instance } = next
    this.#core.say(`hands the leadership over to ${instance}`)
    const value = { term: this.#core.term, diskId }
    this.#core.send(instance, { case: 'startElection', value })
    return true
  }

  status(now: number): VotersStatus {
    return describeVoters(now, this.#core, this.#replication)
  }

  #commit(): void {
    const index = this.#replication.majorityIndex()
    const term = this.#core.log.termAt(index)
    if (index <= this.#core.commitIndex || term === undefined) return
    if (!this.#core.rules.mayCommit(term, this.#core.term)) return
    for (const applied of this.#core.commitThrough(index)) this.#proposals.onApplied(applied)
    this.#core.compact()
  }

  #answerReads(now: number): void {
    // Before the first commit of the term the state may lack what earlier leaders committed.
    if (!this.isEstablished) return
    for (const { from, req } of this.#reads.takeConfirmed(this.#replication)) {
      answerRead(this.#core, from, req, this.status(now))
    }
  }

  #proposeRepair(now: number): void {
    const change = this.#repair.next(now)
    if (change === undefined || this.#repair.check(now, change).err) return
    const { diskId, term } = this.#core
    const commandId = `repair.${diskId}.${term}.${++this.#repairs}`
    const command: Command = create(CommandSchema, {
      commandId,
      change: { case: 'changeVoters', value: change },
    })
    this.#core.appendCommand(command)
  }
}
