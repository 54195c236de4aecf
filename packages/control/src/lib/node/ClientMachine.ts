import { create } from '@bufbuild/protobuf'
import { exhaustive } from '@cherryhitch/model'
import { envelope, ReadControlReplySchema } from '@cherryhitch/protocol'
import type {
  EnvelopeBody,
  ReadControl,
  ReadControlReply,
  SettingsState,
  VotersStatus,
} from '@cherryhitch/protocol'
import { StateMachine } from '@cherryhitch/runtime'
import { BASE_VERSION } from '../state/commandVersion'
import { ClientActionKind, ClientEventKind } from './ClientEvent'
import type { ClientAction, ClientEvent, ReadRange } from './ClientEvent'
import type { ClientOptions } from './ClientOptions'
import { LeaderFinder } from './LeaderFinder'
import { ProposalClient } from './ProposalClient'
import { SettingsClient } from './SettingsClient'

interface PendingRead extends ReadRange {
  readonly readId: string
  readonly deadline: number
  requestId: string
  target: string
  dueAt: number
}

type ReadEvent = Extract<ClientEvent, { kind: ClientEventKind.Read }>

/**
 * Client of the replicated log, which every instance has, with or without a disk: finds the leader,
 * proposes commands, reads, and follows the settings.
 *
 * @internal
 */
export class ClientMachine extends StateMachine<ClientEvent, ClientAction> {
  readonly #options: ClientOptions
  readonly #finder: LeaderFinder
  readonly #proposals: ProposalClient
  readonly #settings: SettingsClient
  readonly #reads = new Map<string, PendingRead>()
  #requestCount = 0
  /** Newest version of commands that the build of the last confirmed leader applies. */
  #leaderCommandVersion = BASE_VERSION

  constructor(options: ClientOptions) {
    super()
    this.#options = options
    this.#finder = new LeaderFinder(options.instance, options.voters)
    this.#proposals = new ProposalClient(options, this.#finder)
    this.#settings = new SettingsClient(options, this.#finder)
  }

  get leader(): string {
    return this.#finder.leader
  }

  get leaderCommandVersion(): number {
    return this.#leaderCommandVersion
  }

  get settings(): SettingsState | undefined {
    return this.#settings.settings
  }

  get voters(): VotersStatus | undefined {
    return this.#settings.voters
  }

  isCurrent(now: number): boolean {
    return this.#settings.isCurrent(now)
  }

  override step(now: number, event: ClientEvent): readonly ClientAction[] {
    switch (event.kind) {
      case ClientEventKind.Propose:
        return this.#proposals.propose(now, event.command, event.timeoutMs)
      case ClientEventKind.Read:
        return this.#startRead(now, event)
      case ClientEventKind.Received:
        return this.#receive(now, event.from, event.body)
      case ClientEventKind.LocalSettings:
        return this.#settings.adopt(now, event.settings)
      case ClientEventKind.SettingsStored:
        return this.#settings.onStored(now, event.settings)
      case ClientEventKind.PeerSeen:
        this.#finder.addPeer(event.instance)
        return this.#settings.onPeerSeen(now, event.instance, event.settingsVersion)
      case ClientEventKind.LeaderFollowed:
        return this.#onLeaderFollowed(now, event.leader)
      default:
        return exhaustive(event)
    }
  }

  override tick(now: number): readonly ClientAction[] {
    const reads = [...this.#reads.values()].flatMap((read) => this.#tickRead(now, read))
    return [...reads, ...this.#proposals.tick(now), ...this.#settings.tick(now)]
  }

  #receive(now: number, from: string, body: EnvelopeBody): ClientAction[] {
    switch (body.case) {
      case 'proposeReply':
        return this.#proposals.onReply(now, from, body.value)
      case 'readControlReply':
        this.#onReadAnswered(from, body.value)
        return [
          ...this.#settings.onReadReply(now, body.value),
          ...this.#onReadReply(now, body.value),
        ]
      case 'settingsNotice':
        return this.#settings.onNotice(now, from, body.value.settings)
      case 'propose':
        return [this.#replyNotLeader(from, body.value.requestId)]
      case 'readControl':
        return [this.#replyUnconfirmed(from, body.value)]
      default:
        return []
    }
  }

  /** Sends to the leader at once what waits for an answer of another instance, which may be gone. */
  #onLeaderFollowed(now: number, leader: string): ClientAction[] {
    this.#finder.onLeaderFollowed(leader)
    const reads = [...this.#reads.values()].filter(({ target }) => target !== leader)
    return [
      ...reads.flatMap((read) => this.#sendRead(now, read)),
      ...this.#settings.onLeaderFollowed(now, leader),
    ]
  }

  #onReadAnswered(from: string, { ok, leader, commandVersion }: ReadControlReply): void {
    if (!ok) {
      this.#finder.onLeaderHint(from, leader)
      return
    }
    this.#finder.confirmLeader(from)
    this.#leaderCommandVersion = Math.max(BASE_VERSION, commandVersion)
  }

  /** An instance without a voter accepts no proposal; it names the leader if it knows it. */
  #replyNotLeader(to: string, requestId: string): ClientAction {
    const value = { requestId, leader: this.#finder.leader }
    const message = envelope({ case: 'proposeReply', value })
    return { kind: ClientActionKind.Send, to, envelope: message }
  }

  /** Answers a peer that cannot reach the leader with the newest settings known here. */
  #replyUnconfirmed(to: string, { requestId }: ReadControl): ClientAction {
    const message = envelope({ case: 'readControlReply', value: this.#unconfirmedReply(requestId) })
    return { kind: ClientActionKind.Send, to, envelope: message }
  }

  #unconfirmedReply(requestId: string): ReadControlReply {
    const reply = create(ReadControlReplySchema, { requestId, leader: this.#finder.leader })
    if (this.#settings.settings !== undefined) reply.settings = this.#settings.settings
    return reply
  }

  #startRead(now: number, event: ReadEvent): ClientAction[] {
    const { readId, auditFrom, auditLimit, withRouting } = event
    const deadline = now + this.#options.timing.proposalTimeoutMs
    const range = { readId, auditFrom, auditLimit, withRouting }
    const read: PendingRead = { ...range, deadline, requestId: '', target: '', dueAt: now }
    this.#reads.set(readId, read)
    return this.#sendRead(now, read)
  }

  #sendRead(now: number, read: PendingRead): ClientAction[] {
    read.dueAt = now + this.#options.timing.attemptMs
    const to = this.#finder.nextTarget()
    if (to === undefined) return []
    const { instance, boot } = this.#options
    read.requestId = `${instance}.${boot}.read.${++this.#requestCount}`
    read.target = to
    const { requestId, auditFrom, auditLimit, withRouting } = read
    const value = { requestId, auditFrom, auditLimit, withRouting }
    const message = envelope({ case: 'readControl', value })
    return [{ kind: ClientActionKind.Send, to, envelope: message }]
  }

  #onReadReply(now: number, reply: ReadControlReply): ClientAction[] {
    const read = [...this.#reads.values()].find(({ requestId }) => requestId === reply.requestId)
    if (read === undefined) return []
    if (!reply.ok) {
      read.requestId = ''
      const hasNewTarget = reply.leader !== '' && reply.leader !== read.target
      read.dueAt = hasNewTarget ? now : now + this.#options.timing.retryMs
      return []
    }
    this.#reads.delete(read.readId)
    return [{ kind: ClientActionKind.ReadAnswered, readId: read.readId, reply }]
  }

  #tickRead(now: number, read: PendingRead): ClientAction[] {
    if (now >= read.deadline) {
      this.#reads.delete(read.readId)
      const reply = this.#unconfirmedReply('')
      return [{ kind: ClientActionKind.ReadAnswered, readId: read.readId, reply }]
    }
    if (now < read.dueAt) return []
    if (read.requestId !== '') this.#finder.clearLeader(read.target)
    return this.#sendRead(now, read)
  }
}
