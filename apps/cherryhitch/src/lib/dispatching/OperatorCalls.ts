import { create } from '@bufbuild/protobuf'
import type { ControlNode } from '@cherryhitch/control'
import { hostOf } from '@cherryhitch/dispatch'
import { ControlService } from '@cherryhitch/platform'
import { CommandResult, CommandSchema } from '@cherryhitch/protocol'
import type { EndpointNotice, RoutingTable } from '@cherryhitch/protocol'
import type { PartLog } from '@cherryhitch/telemetry'
import { Effect } from 'effect'
import type { NoticeExchange } from './NoticeExchange'
import { packDocument, unpackDocument } from './RoutingDocument'

/** An endpoint whose heartbeats can't be read is named this often, in milliseconds. */
const INVALID_NOTICE_LOG_MS = 1_000
/** Endpoints whose last line is remembered at most. */
const MAX_INVALID_WRITERS = 1_000

/** @internal */
export interface OperatorCallsOptions {
  readonly instance: string
  readonly boot: number
  readonly control: ControlNode
  readonly notices: NoticeExchange
  readonly leader: () => string
  /** The port that endpoints call, the same at all instances. */
  readonly controlPort: number
  readonly now: () => number
  readonly log: PartLog
}

/** What operators and endpoints ask of a dispatching instance. @internal */
export class OperatorCalls extends ControlService {
  private commands = 0
  /** When each endpoint's unreadable heartbeat was last logged. */
  private readonly invalidLoggedAt = new Map<string, number>()

  constructor(private readonly options: OperatorCallsOptions) {
    super()
  }

  override putRouting({ version }: RoutingTable, document: string): Effect.Effect<boolean> {
    const { instance, boot, control, now, log } = this.options
    const commandId = `routing.${instance}.${boot}.${++this.commands}`
    const value = { version, document: packDocument(document), atMs: now() }
    const command = create(CommandSchema, { commandId, change: { case: 'putRouting', value } })
    const sentAt = now()
    return Effect.map(control.propose(command), ({ result, detail }) => {
      const ms = Math.round(now() - sentAt)
      const outcome = CommandResult[result]
      log.info('a routing was put', { version, outcome, detail, ms, commandId })
      return result === CommandResult.APPLIED
    })
  }

  override readRouting(): Effect.Effect<string | undefined> {
    return Effect.map(this.options.control.readRouting(), (state) => {
      if (state === undefined || state.version === 0) return undefined
      return unpackDocument(state.document)
    })
  }

  override takeNotice(notice: EndpointNotice): Effect.Effect<boolean> {
    return this.options.notices.take(notice)
  }

  override noticeAddress(): string | undefined {
    const leader = this.options.leader()
    return leader === '' ? undefined : `${hostOf(leader)}:${this.options.controlPort}`
  }

  override noteInvalidRouting(reason: string): void {
    this.options.log.warn('an invalid routing was refused', { reason })
  }

  override noteInvalidNotice(endpoint: string, reason: string): void {
    const now = this.options.now()
    const loggedAt = this.invalidLoggedAt.get(endpoint) ?? -Infinity
    if (now - loggedAt < INVALID_NOTICE_LOG_MS) return
    if (this.invalidLoggedAt.size >= MAX_INVALID_WRITERS) this.invalidLoggedAt.clear()
    this.invalidLoggedAt.set(endpoint, now)
    this.options.log.warn('a heartbeat that cannot be read was refused', { endpoint, reason })
  }
}
