import { create } from '@bufbuild/protobuf'
import { envelope, HardStateSchema, LogEntrySchema } from '@cherryhitch/protocol'
import type {
  Command,
  CommandAnswer,
  ControlSnapshot,
  LogEntry,
  Voter,
} from '@cherryhitch/protocol'
import { ControlState } from '../state/ControlState'
import { changeMembers, majorityOf } from '../state/voterSet'
import { SeededRandom } from '../util/SeededRandom'
import { ControlActionKind, VoterRole } from './ControlAction'
import type { ControlAction } from './ControlAction'
import { FollowedLeaders } from './FollowedLeaders'
import { PersistQueue } from './PersistQueue'
import type { QuorumRules } from './QuorumRules'
import { VoterLog } from './VoterLog'
import type { StoredVoter, VoterConfig } from './VoterOptions'

/** Version of the stored term and vote. */
const HARD_STATE_VERSION = 1

type EnvelopeFields = Parameters<typeof envelope>[0]

/** A command that was applied, for those who wait for it. @internal */
export interface AppliedEntry {
  readonly entry: LogEntry
  readonly answer: CommandAnswer
}

/** Versions of what the state machine holds, to tell what a step changed. */
interface StateVersions {
  readonly settings: number
  readonly routing: number
}

/**
 * What all parts of a voter share: term, vote, log, state, and the actions of the running step.
 *
 * @internal
 */
export class VoterCore {
  readonly config: VoterConfig
  readonly rules: QuorumRules
  readonly diskId: string
  readonly log: VoterLog
  readonly followed = new FollowedLeaders()
  readonly persist: PersistQueue
  /** Undefined on a disk that no leader has filled yet. */
  state: ControlState | undefined
  commitIndex: number
  #appliedIndex: number
  #snapshotIndex: number
  /** Voters make their snapshots at different times, so that a majority goes on meanwhile. */
  readonly #snapshotStagger: number
  #term: number
  #votedFor: string
  #role = VoterRole.Follower
  #leader = ''
  #members: readonly Voter[] = []
  #out: ControlAction[] = []

  constructor(config: VoterConfig, rules: QuorumRules, stored: StoredVoter) {
    this.config = config
    this.rules = rules
    this.diskId = stored.diskId
    this.#snapshotStagger = new SeededRandom(config.seed).between(0.7, 1.3)
    this.#term = stored.term
    this.#votedFor = stored.votedFor
    const { snapshot, entries } = stored
    const base = snapshot?.lastIndex ?? -1
    this.log = new VoterLog(base, snapshot?.lastTerm ?? 0, entries)
    this.persist = new PersistQueue(this.log.lastIndex)
    this.state = snapshot && new ControlState(snapshot, config.state)
    this.commitIndex = Math.max(0, base)
    this.#appliedIndex = base
    this.#snapshotIndex = base
    this.#refreshMembers()
  }

  get term(): number {
    return this.#term
  }

  get votedFor(): string {
    return this.#votedFor
  }

  get role(): VoterRole {
    return this.#role
  }

  /** Instance that leads; empty while it is unknown. */
  get leader(): string {
    return this.#leader
  }

  get appliedIndex(): number {
    return this.#appliedIndex
  }

  /** The set after the last change in the log, committed or not. */
  get members(): readonly Voter[] {
    return this.#members
  }

  get majority(): number {
    return majorityOf(this.#members)
  }

  /** True when this disk has a vote, as far as this voter knows. */
  get isVoter(): boolean {
    return this.counts(this.diskId)
  }

  /**
   * True for a first voter that never voted and never heard of a leader. A wiped folder that was
   * initialized a second time looks the same, so such a voter must not help a log to victory.
   */
  get isFresh(): boolean {
    return this.#term === 0
  }

  counts(diskId: string): boolean {
    return this.#members.some((member) => member.diskId === diskId && this.rules.counts(member))
  }

  /** Enters a term, or votes in it; both are synced before anything that depends on them is sent. */
  setTerm(term: number, votedFor: string): void {
    this.#term = term
    this.#votedFor = votedFor
    const { diskId } = this
    const schemaVersion = HARD_STATE_VERSION
    this.persist.noteHardState(create(HardStateSchema, { schemaVersion, term, votedFor, diskId }))
  }

  setRole(role: VoterRole, leader: string): void {
    if (this.#role === role && this.#leader === leader) return
    this.#role = role
    this.#leader = leader
    this.emit({ kind: ControlActionKind.RoleChanged, role, term: this.#term, leader })
  }

  /** Adds a command at the end of the log, in the current term. */
  appendCommand(command: Command): LogEntry {
    const index = this.log.lastIndex + 1
    const entry = create(LogEntrySchema, { index, term: this.#term, command })
    this.appendEntries([entry])
    return entry
  }

  appendEntries(entries: readonly LogEntry[]): void {
    this.log.append(entries)
    this.persist.noteEntries(entries)
    if (entries.some(changesMembers)) this.#refreshMembers()
  }

  truncateAfter(index: number): void {
    this.log.truncateAfter(index)
    this.persist.noteTruncation(index)
    this.#refreshMembers()
  }

  /** Replaces log and state by a leader's snapshot. */
  install(snapshot: ControlSnapshot): void {
    this.persist.noteTruncation(Math.max(-1, this.log.baseIndex))
    this.log.reset(snapshot.lastIndex, snapshot.lastTerm)
    this.persist.noteSnapshot(snapshot)
    const before = this.#versions()
    this.state = new ControlState(snapshot, this.config.state)
    this.commitIndex = snapshot.lastIndex
    this.#appliedIndex = snapshot.lastIndex
    this.#snapshotIndex = snapshot.lastIndex
    this.#refreshMembers()
    this.#noteChanges(before)
  }

  /** Applies entries up to the index, which is committed. */
  commitThrough(index: number): readonly AppliedEntry[] {
    this.commitIndex = Math.max(this.commitIndex, index)
    const applied: AppliedEntry[] = []
    const before = this.#versions()
    while (this.state !== undefined && this.#appliedIndex < this.commitIndex) {
      const entry = this.log.at(this.#appliedIndex + 1)
      if (entry?.command === undefined) break
      applied.push({ entry, answer: this.#apply(this.state, entry, entry.command) })
    }
    // Once for all of them: after a restart they may be thousands.
    this.#noteChanges(before)
    return applied
  }

  /** Makes a snapshot when enough entries were applied since the last one. */
  compact(): void {
    const { snapshotEvery, entriesKept } = this.config.limits
    if (this.state === undefined) return
    // A share of the size, so that the cost of snapshots stays in proportion to the changes.
    const due = (snapshotEvery + this.state.size / 4) * this.#snapshotStagger
    if (this.#appliedIndex - this.#snapshotIndex < due) return
    const lastTerm = this.log.termAt(this.#appliedIndex)
    if (lastTerm === undefined) return
    this.persist.noteSnapshot(this.state.snapshot(this.#appliedIndex, lastTerm))
    this.#snapshotIndex = this.#appliedIndex
    this.log.dropThrough(Math.max(this.log.baseIndex, this.#appliedIndex - entriesKept))
  }

  send(to: string, body: EnvelopeFields): void {
    this.emit({ kind: ControlActionKind.Send, to, envelope: envelope(body) })
  }

  /** Sends once everything that was noted so far is synced. */
  sendWhenDurable(to: string, body: EnvelopeFields): void {
    const action = { kind: ControlActionKind.Send as const, to, envelope: envelope(body) }
    const ready = this.persist.hold(action)
    if (ready !== undefined) this.emit(ready)
  }

  say(line: string): void {
    this.emit({ kind: ControlActionKind.Log, line })
  }

  emit(action: ControlAction): void {
    this.#out.push(action)
  }

  /** Ends the step: gives out its actions, with the next batch to sync if there is one. */
  takeActions(): readonly ControlAction[] {
    const batch = this.persist.takeBatch(this.log.lastIndex)
    if (batch !== undefined) this.emit({ kind: ControlActionKind.Persist, batch })
    const actions = this.#out
    this.#out = []
    return actions
  }

  #apply(state: ControlState, entry: LogEntry, command: Command): CommandAnswer {
    const answer = state.apply(command)
    this.#appliedIndex = entry.index
    const { index, term } = entry
    this.emit({ kind: ControlActionKind.Applied, index, term, command, answer })
    return answer
  }

  #versions(): StateVersions {
    const { state } = this
    return { settings: state?.settings.version ?? 0, routing: state?.routing.version ?? 0 }
  }

  #noteChanges(before: StateVersions): void {
    if (this.state === undefined) return
    const { settings, routing } = this.state
    if (settings.version > before.settings) {
      this.emit({ kind: ControlActionKind.SettingsChanged, settings })
    }
    if (routing.version > before.routing) {
      this.emit({ kind: ControlActionKind.RoutingChanged, routing })
    }
  }

  #refreshMembers(): void {
    const { state } = this
    let members = state?.voters ?? []
    for (const { command } of this.log.slice(this.#appliedIndex + 1)) {
      if (command?.change.case !== 'changeVoters') continue
      // A repeated command changes nothing when it is applied, so it must not do so here.
      if (state?.answerTo(command.commandId) !== undefined) continue
      members = changeMembers(members, command.change.value).unwrapOr(members)
    }
    this.#members = members
  }
}

function changesMembers({ command }: LogEntry): boolean {
  return command?.change.case === 'changeVoters'
}
