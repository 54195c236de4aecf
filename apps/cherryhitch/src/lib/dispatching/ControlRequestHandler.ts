import { create } from '@bufbuild/protobuf'
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { ControlNode } from '@cherryhitch/control'
import { hostOf } from '@cherryhitch/dispatch'
import { ControlService } from '@cherryhitch/platform'
import { CommandResult, CommandSchema } from '@cherryhitch/protocol'
import type { EndpointNotice, RoutingTable } from '@cherryhitch/protocol'
import type { PartLog } from '@cherryhitch/telemetry'
import { Effect } from 'effect'
import type { NoticeExchange } from './NoticeExchange'
import { compressDocument, decompressDocument } from './RoutingDocument'

/** Minimum interval between log lines about invalid heartbeats of one endpoint. */
const INVALID_NOTICE_LOG_INTERVAL_MS = 1_000
/** Maximum number of endpoints whose last log line is remembered. */
const MAX_INVALID_SENDERS = 1_000

/** The platform names neither the operator nor the reason of an order. */
const PLATFORM_ORDER = { operator: 'platform', reason: 'ordered on the control interface' } as const

/** @internal */
export interface ControlRequestHandlerOptions {
  readonly instance: string
  readonly boot: number
  readonly control: ControlNode
  readonly notices: NoticeExchange
  readonly leader: () => string
  /** Port for endpoints and operators, the same on all instances. */
  readonly controlPort: number
  readonly now: () => number
  readonly log: PartLog
}

/** A change of the replicated log, as it is written in a command. */
type CommandChange = NonNullable<MessageInitShape<typeof CommandSchema>['change']>

/** Result of a proposed change, for the log. */
interface ProposalResult {
  readonly outcome: string | undefined
  readonly detail: string
  /** Time until the answer. */
  readonly ms: number
  readonly commandId: string
}

/** Handles the requests of operators and endpoints to a dispatching instance. @internal */
export class ControlRequestHandler extends ControlService {
  private commandCount = 0
  /** When an invalid heartbeat of each endpoint was last logged. */
  private readonly invalidLoggedAt = new Map<string, number>()

  constructor(private readonly options: ControlRequestHandlerOptions) {
    super()
  }

  override putRouting({ version }: RoutingTable, document: string): Effect.Effect<boolean> {
    const value = { version, document: compressDocument(document), atMs: this.options.now() }
    return this.propose('routing', { case: 'putRouting', value }, (fields) => {
      this.options.log.info('routing update finished', { version, ...fields })
    })
  }

  override setZoneDrain(zone: string, drained: boolean): Effect.Effect<boolean> {
    const { control, now, log } = this.options
    // Taken when the order arrives: a copy that is committed only after the opposite order then
    // counts as outdated.
    const fromVersion = control.committedSettings()?.version ?? 0
    const value = { ...PLATFORM_ORDER, zone, drained, fromVersion, atMs: now() }
    return this.propose('zone', { case: 'setZoneDrain', value }, (fields) => {
      log.info('zone drain order finished', { zone, drained, fromVersion, ...fields })
    })
  }

  override readRouting(): Effect.Effect<string | undefined> {
    return Effect.map(this.options.control.readRouting(), (state) => {
      if (state === undefined || state.version === 0) return undefined
      return decompressDocument(state.document)
    })
  }

  override acceptNotice(notice: EndpointNotice): Effect.Effect<boolean> {
    return this.options.notices.acceptNotice(notice)
  }

  override heartbeatTarget(): string | undefined {
    const leader = this.options.leader()
    return leader === '' ? undefined : `${hostOf(leader)}:${this.options.controlPort}`
  }

  override reportInvalidRouting(reason: string): void {
    this.options.log.warn('rejected an invalid routing configuration', { reason })
  }

  /** Proposes a change to the replicated log; true once it is applied. */
  private propose(
    kind: string,
    change: CommandChange,
    logResult: (fields: ProposalResult) => void,
  ): Effect.Effect<boolean> {
    const { control, now } = this.options
    const commandId = this.nextCommandId(kind)
    const sentAt = now()
    const answered = control.propose(create(CommandSchema, { commandId, change }))
    return Effect.map(answered, ({ result, detail }) => {
      const ms = Math.round(now() - sentAt)
      logResult({ outcome: CommandResult[result], detail, ms, commandId })
      return result === CommandResult.APPLIED
    })
  }

  private nextCommandId(kind: string): string {
    const { instance, boot } = this.options
    return `${kind}.${instance}.${boot}.${++this.commandCount}`
  }

  override reportInvalidNotice(endpoint: string, reason: string): void {
    const now = this.options.now()
    const loggedAt = this.invalidLoggedAt.get(endpoint) ?? -Infinity
    if (now - loggedAt < INVALID_NOTICE_LOG_INTERVAL_MS) return
    if (this.invalidLoggedAt.size >= MAX_INVALID_SENDERS) this.invalidLoggedAt.clear()
    this.invalidLoggedAt.set(endpoint, now)
    this.options.log.warn('rejected an invalid heartbeat', { endpoint, reason })
  }
}
