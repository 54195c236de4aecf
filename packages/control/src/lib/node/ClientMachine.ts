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
import { Machine } from '@cherryhitch/runtime'
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
 * What every instance has, with a disk or without: it finds the leader, proposes, reads, and
 * follows the settings.
 *
 * @internal
 */
export class ClientMachine extends Machine<ClientEvent, ClientAction> {
  readonly #options: ClientOptions
  readonly #finder: LeaderFinder
  readonly #proposals: ProposalClient
  readonly #settings: SettingsClient
  readonly #reads = new Map<string, PendingRead>()
  #sentReads = 0

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
      case ClientEventKind.SettingsKept:
        return this.#settings.onKept(now, event.settings)
      case ClientEventKind.PeerSeen:
        this.#finder.notePeer(event.instance)
        return this.#settings.notePeer(now, event.instance, event.settingsVersion)
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
        if (body.value.ok) this.#finder.confirm(from)
        else this.#finder.noteHint(from, body.value.leader)
        return [
          ...this.#settings.onReadReply(now, body.value),
          ...this.#onReadReply(now, body.value),
        ]
      case 'settingsNotice':
        return this.#settings.onNotice(now, from, body.value.settings)
      case 'propose':
        return [this.#sendOn(from, body.value.requestId)]
      case 'readControl':
        return [this.#answerPeer(from, body.value)]
      default:
        return []
    }
  }

  /** An instance without a voter names the leader, if it knows it. */
  #sendOn(to: string, requestId: string): ClientAction {
    const value = { requestId, leader: this.#finder.leader }
    const message = envelope({ case: 'proposeReply', value })
    return { kind: ClientActionKind.Send, to, envelope: message }
  }

  /** A peer that is cut off from the leader gets the newest settings that are known here. */
  #answerPeer(to: string, { requestId }: ReadControl): ClientAction {
    const message = envelope({ case: 'readControlReply', value: this.#unconfirmed(requestId) })
    return { kind: ClientActionKind.Send, to, envelope: message }
  }

  #unconfirmed(requestId: string): ReadControlReply {
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
    const to = this.#finder.target()
    if (to === undefined) return []
    const { instance, boot } = this.#options
    read.requestId = `${instance}.${boot}.read.${++this.#sentReads}`
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
      const reply = this.#unconfirmed('')
      return [{ kind: ClientActionKind.ReadAnswered, readId: read.readId, reply }]
    }
    if (now < read.dueAt) return []
    if (read.requestId !== '') this.#finder.noteSilence(read.target)
    return this.#sendRead(now, read)
  }
}
