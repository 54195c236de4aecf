import { create } from '@bufbuild/protobuf'
import { envelope, HardStateSchema, LogEntrySchema } from '@cherryhitch/protocol'
import type {
  Command,
  CommandAnswer,
  ControlSnapshot,
  LogEntry,
  Voter,
} from '@cherryhitch/protocol'
import { BASE_VERSION, COMMAND_VERSION } from '../state/commandVersion'
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

/** Schema version of the stored term and vote. */
const HARD_STATE_VERSION = 1

type EnvelopeFields = Parameters<typeof envelope>[0]

/** A log entry that was applied, with the answer to its command. @internal */
export interface AppliedEntry {
  readonly entry: LogEntry
  readonly answer: CommandAnswer
}

/** Versions of the settings and the routing, compared to detect what a commit changed. */
interface StateVersions {
  readonly settings: number
  readonly routing: number
}

/**
 * State that all parts of a voter share: term, vote, log, replicated state, and the actions that
 * the current step has emitted.
 *
 * @internal
 */
export class VoterCore {
  readonly config: VoterConfig
  readonly rules: QuorumRules
  readonly diskId: string
  readonly log: VoterLog
  readonly followedLeaders: FollowedLeaders
  readonly persist: PersistQueue
  /** Undefined on a new disk until a leader installs a snapshot on it. */
  state: ControlState | undefined
  commitIndex: number
  /** Newest version of commands that the present leader's build applies. */
  leaderCommandVersion = BASE_VERSION
  #appliedIndex: number
  #snapshotIndex: number
  /**
   * Random factor on the snapshot interval, so that voters take their snapshots at different times
   * and a majority keeps committing meanwhile.
   */
  readonly #snapshotStagger: number
  #term: number
  #votedFor: string
  #role = VoterRole.Follower
  #leader = ''
  #members: readonly Voter[] = []
  #actions: ControlAction[] = []

  constructor(config: VoterConfig, rules: QuorumRules, stored: StoredVoter) {
    this.config = config
    this.rules = rules
    this.diskId = stored.diskId
    this.followedLeaders = new FollowedLeaders(config.lastFollowedAt)
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

  /** The leader's instance; empty while no leader is known. */
  get leader(): string {
    return this.#leader
  }

  get appliedIndex(): number {
    return this.#appliedIndex
  }

  /** The members after the last membership change in the log, committed or not. */
  get members(): readonly Voter[] {
    return this.#members
  }

  get majority(): number {
    return majorityOf(this.#members)
  }

  /** True if this disk is a voting member, as far as this voter knows. */
  get isVoter(): boolean {
    return this.hasVote(this.diskId)
  }

  /**
   * True if this disk may be needed to elect a leader. Until its removal is committed, it may be the
   * only one that holds the newest entries, and then it would vote for no other.
   */
  get mayLead(): boolean {
    const committed = this.state?.voters ?? []
    return (
      this.isVoter ||
      committed.some((member) => member.diskId === this.diskId && this.rules.hasVote(member))
    )
  }

  /**
   * True for an initial voter that has neither voted nor heard from a leader. A wiped folder that
   * was initialized a second time looks the same, so a voter in this state must not vote for a log
   * that has entries: it could help elect a log that lacks entries which the wiped disk
   * acknowledged.
   */
  get isFresh(): boolean {
    return this.#term === 0
  }

  hasVote(diskId: string): boolean {
    return this.#members.some((member) => member.diskId === diskId && this.rules.hasVote(member))
  }

  /** Sets term and vote; they are synced before any message that depends on them is sent. */
  setTerm(term: number, votedFor: string): void {
    this.#term = term
    this.#votedFor = votedFor
    const { diskId } = this
    const schemaVersion = HARD_STATE_VERSION
    this.persist.queueHardState(create(HardStateSchema, { schemaVersion, term, votedFor, diskId }))
  }

  setRole(role: VoterRole, leader: string): void {
    if (this.#role === role && this.#leader === leader) return
    this.#role = role
    this.#leader = leader
    this.leaderCommandVersion = role === VoterRole.Leader ? COMMAND_VERSION : BASE_VERSION
    this.emit({ kind: ControlActionKind.RoleChanged, role, term: this.#term, leader })
  }

  /** Appends a command to the log in the current term. */
  appendCommand(command: Command): LogEntry {
    const index = this.log.lastIndex + 1
    const entry = create(LogEntrySchema, { index, term: this.#term, command })
    this.appendEntries([entry])
    return entry
  }

  appendEntries(entries: readonly LogEntry[]): void {
    this.log.append(entries)
    this.persist.queueEntries(entries)
    if (entries.some(isMembershipChange)) this.#refreshMembers()
  }

  truncateAfter(index: number): void {
    this.log.truncateAfter(index)
    this.persist.queueTruncation(index)
    this.#refreshMembers()
  }

  /** Replaces log and state with a snapshot from the leader. */
  install(snapshot: ControlSnapshot): void {
    this.persist.queueTruncation(Math.max(-1, this.log.baseIndex))
    this.log.reset(snapshot.lastIndex, snapshot.lastTerm)
    this.persist.queueSnapshot(snapshot)
    const before = this.#stateVersions()
    this.state = new ControlState(snapshot, this.config.state)
    this.commitIndex = snapshot.lastIndex
    this.#appliedIndex = snapshot.lastIndex
    this.#snapshotIndex = snapshot.lastIndex
    this.#refreshMembers()
    this.#emitStateChanges(before)
  }

  /** Advances the commit index and applies the entries up to it. */
  commitThrough(index: number): readonly AppliedEntry[] {
    this.commitIndex = Math.max(this.commitIndex, index)
    const applied: AppliedEntry[] = []
    const before = this.#stateVersions()
    while (this.state !== undefined && this.#appliedIndex < this.commitIndex) {
      const entry = this.log.at(this.#appliedIndex + 1)
      if (entry?.command === undefined) break
      applied.push({ entry, answer: this.#apply(this.state, entry, entry.command) })
    }
    // Emitted once for the whole range, which may be thousands of entries after a restart.
    this.#emitStateChanges(before)
    return applied
  }

  /** Takes a snapshot and drops old entries once enough were applied since the last snapshot. */
  compact(): void {
    const { snapshotEvery, entriesKept } = this.config.limits
    if (this.state === undefined) return
    // The interval grows with the state, so that snapshot cost stays proportional to the changes.
    const due = (snapshotEvery + this.state.size / 4) * this.#snapshotStagger
    if (this.#appliedIndex - this.#snapshotIndex < due) return
    const lastTerm = this.log.termAt(this.#appliedIndex)
    if (lastTerm === undefined) return
    this.persist.queueSnapshot(this.state.snapshot(this.#appliedIndex, lastTerm))
    this.#snapshotIndex = this.#appliedIndex
    this.log.dropThrough(Math.max(this.log.baseIndex, this.#appliedIndex - entriesKept))
  }

  send(to: string, body: EnvelopeFields): void {
    this.emit({ kind: ControlActionKind.Send, to, envelope: envelope(body) })
  }

  /** Sends the message once everything queued so far is synced. */
  sendWhenDurable(to: string, body: EnvelopeFields): void {
    const action = { kind: ControlActionKind.Send as const, to, envelope: envelope(body) }
    const ready = this.persist.holdUntilDurable(action)
    if (ready !== undefined) this.emit(ready)
  }

  logLine(line: string): void {
    this.emit({ kind: ControlActionKind.Log, line })
  }

  emit(action: ControlAction): void {
    this.#actions.push(action)
  }

  /** Ends the step: returns its actions, including the next batch to sync if there is one. */
  takeActions(): readonly ControlAction[] {
    const batch = this.persist.takeBatch(this.log.lastIndex)
    if (batch !== undefined) this.emit({ kind: ControlActionKind.Persist, batch })
    const actions = this.#actions
    this.#actions = []
    return actions
  }

  #apply(state: ControlState, entry: LogEntry, command: Command): CommandAnswer {
    const answer = state.apply(command)
    this.#appliedIndex = entry.index
    const { index, term } = entry
    this.emit({ kind: ControlActionKind.Applied, index, term, command, answer })
    return answer
  }

  #stateVersions(): StateVersions {
    const { state } = this
    return { settings: state?.settings.version ?? 0, routing: state?.routing.version ?? 0 }
  }

  #emitStateChanges(before: StateVersions): void {
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
      // A repeated command has no effect when it is applied, so it must have none here.
      if (state?.answerTo(command.commandId) !== undefined) continue
      members = changeMembers(members, command.change.value).unwrapOr(members)
    }
    this.#members = members
  }
}

function isMembershipChange({ command }: LogEntry): boolean {
  return command?.change.case === 'changeVoters'
}
