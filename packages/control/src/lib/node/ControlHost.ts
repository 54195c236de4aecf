import type {
  ClaimAnswer,
  ClaimEnd,
  Command,
  CommandAnswer,
  Envelope,
  EnvelopeBody,
  KeyClaim,
  ReadControlReply,
  SettingsState,
  VotersStatus,
} from '@cherryhitch/protocol'
import { create } from '@bufbuild/protobuf'
import { CommandAnswerSchema, CommandResult } from '@cherryhitch/protocol'
import { exhaustive } from '@cherryhitch/model'
import type { Clock } from '@cherryhitch/runtime'
import type { ControlError } from '../errors/ControlError'
import { ControlActionKind, VoterRole } from '../voter/ControlAction'
import { ControlEventKind } from '../voter/ControlEvent'
import { DiskActionKind } from '../voter/RecoverableVoter'
import type {
  RecoverableVoter,
  RecoverableVoterAction,
  RecoverableVoterEvent,
} from '../voter/RecoverableVoter'
import type { VoterMachine } from '../voter/VoterMachine'
import { versionOfCommand } from '../state/commandVersion'
import { drainedZonesOf } from '../state/zoneDrains'
import { ClaimBatcher } from './ClaimBatcher'
import { ClaimEndBatcher } from './ClaimEndBatcher'
import { ClientActionKind, ClientEventKind } from './ClientEvent'
import type { ClientAction, ClientEvent, ReadRange } from './ClientEvent'
import type { ClientMachine } from './ClientMachine'
import type { ClientTiming } from './ClientOptions'
import type { KnownSettings } from './ControlNode'
import type { ControlNodeOptions } from './ControlNodeOptions'
import { isVoterMessage } from './isVoterMessage'
import type { DiskWorker } from './startDiskWorker'

/** Events in the mailbox of a control node. @internal */
export type NodeEvent =
  | { readonly to: NodePart.Voter; readonly event: RecoverableVoterEvent }
  | { readonly to: NodePart.Client; readonly event: ClientEvent }
  /**
   * Claims or claim ends are pending; those added in one turn of the event loop share a command.
   */
  | { readonly to: NodePart.Batches }
  | { readonly to: NodePart.Timer }

/** The component that handles an event. @internal */
export enum NodePart {
  Voter = 'voter',
  Client = 'client',
  Batches = 'batches',
  Timer = 'timer',
}

/** @internal */
export interface ControlHostParts {
  readonly options: ControlNodeOptions
  readonly clock: Clock
  readonly timing: ClientTiming
  readonly client: ClientMachine
  /** Present on an instance with a disk, as is `disk`. */
  readonly voter?: RecoverableVoter
  readonly disk?: DiskWorker
  readonly membersOnDisk?: () => readonly string[]
  readonly tell: (event: NodeEvent) => void
  readonly storeSettings: (settings: SettingsState) => void
}

/** Value of a gauge that is not known at the moment. */
const UNKNOWN = -1

type Callback<T> = (value: T) => void

/** Runs the state machines of a control node and performs their actions. @internal */
export class ControlHost {
  readonly #parts: ControlHostParts
  readonly #proposalCallbacks = new Map<string, Callback<CommandAnswer>[]>()
  readonly #readCallbacks = new Map<string, Callback<ReadControlReply>>()
  readonly #claims: ClaimBatcher
  #reportedTerm: number | undefined
  #reportedLeader = ''
  readonly #ends: ClaimEndBatcher
  readonly #counters = {
    messages_sent: 0,
    persists: 0,
    entries_persisted: 0,
    entries_applied: 0,
    elections_won: 0,
    reads: 0,
    proposals: 0,
  }

  constructor(parts: ControlHostParts) {
    this.#parts = parts
    const { instance, boot } = parts.options
    this.#claims = new ClaimBatcher(`${instance}.${boot}`)
    this.#ends = new ClaimEndBatcher(`${instance}.${boot}`)
  }

  /** The voter of this instance; undefined without a disk, and until the disk could be opened. */
  get #voter(): VoterMachine | undefined {
    return this.#parts.voter?.machine
  }

  /** See `ControlNode.diskId`. */
  get diskId(): string | undefined {
    return this.#voter?.diskId
  }

  receive(from: string, boot: number, body: EnvelopeBody): void {
    if (this.#voter !== undefined && isVoterMessage(body)) {
      const event = { kind: ControlEventKind.Received as const, from, boot, body }
      this.#parts.tell({ to: NodePart.Voter, event })
    } else {
      this.#tellClient({ kind: ClientEventKind.Received, from, body })
    }
  }

  observePeer(instance: string, settingsVersion: number): void {
    this.#tellClient({ kind: ClientEventKind.PeerSeen, instance, settingsVersion })
  }

  propose(command: Command, done: Callback<CommandAnswer>): void {
    const { commandId } = command
    if (this.#leaderCommandVersion < versionOfCommand(command)) {
      const detail = "no leader is known, or the leader's build does not know this command"
      done(create(CommandAnswerSchema, { commandId, result: CommandResult.UNAVAILABLE, detail }))
      return
    }
    this.#proposalCallbacks.set(commandId, [
      ...(this.#proposalCallbacks.get(commandId) ?? []),
      done,
    ])
    const timeoutMs = this.#parts.timing.proposalTimeoutMs
    this.#tellClient({ kind: ClientEventKind.Propose, command, timeoutMs })
  }

  /** A leader whose build does not know a command would append it without applying it. */
  get #leaderCommandVersion(): number {
    const { client } = this.#parts
    const voter = this.#voter
    const followsLeader = voter !== undefined && voter.leader !== ''
    return followsLeader ? voter.leaderCommandVersion : client.leaderCommandVersion
  }

  claim(claim: KeyClaim, done: Callback<ClaimAnswer | ControlError | undefined>): void {
    const deadline = this.#parts.clock.now() + this.#parts.timing.claimTimeoutMs
    this.#claims.add({
      claim,
      deadline,
      done: (outcome) => {
        done(outcome.val)
      },
    })
    this.#parts.tell({ to: NodePart.Batches })
  }

  endClaim(end: ClaimEnd): void {
    this.#ends.add(end)
    this.#parts.tell({ to: NodePart.Batches })
  }

  read(range: ReadRange, done: Callback<ReadControlReply>): void {
    const readId = `read.${++this.#counters.reads}`
    this.#readCallbacks.set(readId, done)
    this.#tellClient({ kind: ClientEventKind.Read, readId, ...range })
  }

  settings(): KnownSettings | undefined {
    const { client, clock } = this.#parts
    const { settings } = client
    return settings && { settings, current: client.isCurrent(clock.now()) }
  }

  /** See `ControlNode.committedSettings`. */
  committedSettings(): SettingsState | undefined {
    const { voter, client } = this.#parts
    return voter?.settings ?? client.settings
  }

  transferLeadership(): void {
    this.#parts.tell({ to: NodePart.Voter, event: { kind: ControlEventKind.TransferLeadership } })
  }

  /** See `ControlNode.confirmedAt`. */
  confirmedAt(): number {
    return this.#voter?.confirmedAt(this.#parts.clock.now()) ?? -Infinity
  }

  status(): VotersStatus | undefined {
    const { client, clock } = this.#parts
    return this.#voter?.status(clock.now()) ?? client.voters
  }

  /** The status of the voters, unless it is older than the settings lease. */
  #confirmedStatus(): VotersStatus | undefined {
    const { client, clock } = this.#parts
    const now = clock.now()
    return this.#voter?.status(now) ?? (client.isCurrent(now) ? client.voters : undefined)
  }

  /** See `ControlNode.memberInstances`. */
  memberInstances(): readonly string[] {
    const members = this.status()?.members.map(({ instance }) => instance)
    return members ?? this.#parts.membersOnDisk?.() ?? []
  }

  isLeader(): boolean {
    return this.#voter?.role === VoterRole.Leader
  }

  leader(): string {
    const followed = this.followedLeader()
    return followed === '' ? this.#parts.client.leader : followed
  }

  followedLeader(): string {
    return this.#voter?.leader ?? ''
  }

  followedBefore(term: number): number | undefined {
    return this.#voter?.followedBefore(term)
  }

  term(): number {
    return this.#voter?.term ?? 0
  }

  counters(): Record<string, number> {
    return {
      ...this.#counters,
      ...this.#parts.voter?.counters,
      claim_commands: this.#claims.commandCount,
      ends_waiting: this.#ends.pendingCount,
      ends_dropped: this.#ends.droppedCount,
      safeLossesNow: this.#confirmedStatus()?.safeLosses ?? UNKNOWN,
      zones_drained: drainedZonesOf(this.committedSettings()?.zoneDrains ?? []).size,
    }
  }

  /** Handles mailbox events; those that arrived together share a batch of writes and messages. */
  handle(events: readonly NodeEvent[]): void {
    const now = this.#parts.clock.now()
    const forVoter: RecoverableVoterEvent[] = []
    for (const event of events) {
      if (event.to === NodePart.Voter) forVoter.push(event.event)
      else if (event.to === NodePart.Client)
        this.#performClientActions(this.#parts.client.step(now, event.event))
    }
    const { voter } = this.#parts
    if (voter !== undefined && forVoter.length > 0)
      this.#performVoterActions(voter.stepAll(now, forVoter))
    if (events.some(({ to }) => to === NodePart.Timer)) this.#tick(now)
    if (events.some(({ to }) => to === NodePart.Batches)) this.#proposeBatches()
    this.#reportLeadership()
    this.#reportFollowedLeader()
  }

  /**
   * Reports when this instance has become leader with everything committed in earlier terms, and
   * when it stops leading.
   */
  #reportLeadership(): void {
    const { voter, options } = this.#parts
    const machine = this.#voter
    const term = machine?.isEstablished === true ? machine.term : undefined
    if (term === this.#reportedTerm) return
    this.#reportedTerm = term
    options.onLeadership?.(term, { routing: voter?.routing, settings: voter?.settings })
  }

  /** Tells the client of each leader that the own voter follows, so that it need not search for it. */
  #reportFollowedLeader(): void {
    const leader = this.followedLeader()
    if (leader === this.#reportedLeader) return
    this.#reportedLeader = leader
    if (leader !== '') this.#tellClient({ kind: ClientEventKind.LeaderFollowed, leader })
  }

  #tick(now: number): void {
    const { voter, client } = this.#parts
    if (voter !== undefined) this.#performVoterActions(voter.tick(now))
    this.#performClientActions(client.tick(now))
    this.#proposeBatches()
  }

  #proposeBatches(): void {
    const now = this.#parts.clock.now()
    const { claimTimeoutMs } = this.#parts.timing
    for (const command of [this.#claims.next(now), this.#ends.next(now)]) {
      if (command === undefined) continue
      this.#tellClient({ kind: ClientEventKind.Propose, command, timeoutMs: claimTimeoutMs })
    }
  }

  #tellClient(event: ClientEvent): void {
    this.#parts.tell({ to: NodePart.Client, event })
  }

  #performVoterActions(actions: readonly RecoverableVoterAction[]): void {
    for (const action of actions) this.#performVoterAction(action)
  }

  #performVoterAction(action: RecoverableVoterAction): void {
    const { options, disk } = this.#parts
    switch (action.kind) {
      case ControlActionKind.Send:
        this.#send(action.to, action.envelope)
        return
      case ControlActionKind.Persist:
        this.#counters.persists++
        this.#counters.entries_persisted += action.batch.entries.length
        disk?.persist(action.batch)
        return
      case ControlActionKind.Applied:
        this.#counters.entries_applied++
        return
      case ControlActionKind.SettingsChanged:
        options.onCommittedSettings?.(action.settings)
        this.#tellClient({ kind: ClientEventKind.LocalSettings, settings: action.settings })
        return
      case ControlActionKind.RoutingChanged:
        options.onRouting?.(action.routing)
        return
      case ControlActionKind.RoleChanged:
        if (action.role === VoterRole.Leader) this.#counters.elections_won++
        return
      case ControlActionKind.Log:
        options.log(action.line)
        return
      case DiskActionKind.Open:
        disk?.open()
        return
      default:
        exhaustive(action)
    }
  }

  #performClientActions(actions: readonly ClientAction[]): void {
    for (const action of actions) this.#performClientAction(action)
  }

  #performClientAction(action: ClientAction): void {
    switch (action.kind) {
      case ClientActionKind.Send:
        this.#send(action.to, action.envelope)
        return
      case ClientActionKind.Answered:
        this.#answer(action.answer)
        return
      case ClientActionKind.ReadAnswered:
        this.#readCallbacks.get(action.readId)?.(action.reply)
        this.#readCallbacks.delete(action.readId)
        return
      case ClientActionKind.StoreSettings:
        this.#parts.storeSettings(action.settings)
        return
      case ClientActionKind.SettingsChanged:
        this.#parts.options.onSettings(action.settings, action.current)
        return
      default:
        exhaustive(action)
    }
  }

  #answer(answer: CommandAnswer): void {
    const now = this.#parts.clock.now()
    if (this.#claims.onAnswer(answer) || this.#ends.onAnswer(now, answer)) {
      this.#proposeBatches()
      return
    }
    const callbacks = this.#proposalCallbacks.get(answer.commandId) ?? []
    this.#proposalCallbacks.delete(answer.commandId)
    for (const callback of callbacks) callback(answer)
  }

  #send(to: string, envelope: Envelope): void {
    const { instance, boot, send } = this.#parts.options
    if (to !== instance) {
      this.#counters.messages_sent++
      send(to, envelope)
    } else if (envelope.body.case !== undefined) {
      this.receive(instance, boot, envelope.body)
    }
  }
}
