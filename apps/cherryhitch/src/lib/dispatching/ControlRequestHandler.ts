import { create } from '@bufbuild/protobuf'
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { ControlNode } from '@cherryhitch/control'
import { hostOf } from '@cherryhitch/dispatch'
import { ControlService } from '@cherryhitch/platform'
import type { InvalidRouting, RoutingChange } from '@cherryhitch/platform'
import { CommandResult, CommandSchema } from '@cherryhitch/protocol'
import type { EndpointNotice, RoutingState } from '@cherryhitch/protocol'
import type { PartLog } from '@cherryhitch/telemetry'
import { Effect } from 'effect'
import { CommandIds } from './CommandIds'
import type { NoticeExchange } from './NoticeExchange'
import { compressDocument, decompressDocument } from './RoutingDocument'
import { ReadOutcome } from './RoutingTelemetry'
import type { ProposalResult, RoutingTelemetry } from './RoutingTelemetry'

/** Minimum interval between log lines about invalid heartbeats of one endpoint. */
const INVALID_NOTICE_LOG_INTERVAL_MS = 1_000
/** Maximum number of endpoints whose last log line is remembered. */
const MAX_INVALID_SENDERS = 1_000

/** The platform names neither the operator nor the reason of an order. */
const PLATFORM_ORDER = { operator: 'platform', reason: 'ordered on the control interface' } as const

/** @internal */
export interface ControlRequestHandlerOptions {
  readonly instance: string
  readonly control: ControlNode
  readonly notices: Pick<NoticeExchange, 'acceptNotice'>
  readonly routing: RoutingTelemetry
  readonly leader: () => string
  /** Port for endpoints and operators, the same on all instances. */
  readonly controlPort: number
  readonly now: () => number
  readonly log: PartLog
}

/** A change of the replicated log, as it is written in a command. */
type CommandChange = NonNullable<MessageInitShape<typeof CommandSchema>['change']>

/** Handles the requests of operators and endpoints to a dispatching instance. @internal */
export class ControlRequestHandler extends ControlService {
  private readonly commandIds: CommandIds
  /** When an invalid heartbeat of each endpoint was last logged. */
  private readonly invalidLoggedAt = new Map<string, number>()

  constructor(private readonly options: ControlRequestHandlerOptions) {
    super()
    this.commandIds = new CommandIds(options.instance)
  }

  override putRouting(change: RoutingChange): Effect.Effect<boolean> {
    const { now, routing } = this.options
    const document = compressDocument(change.document)
    const value = { version: change.table.version, document, atMs: now() }
    return this.propose('routing', { case: 'putRouting', value }, (result) => {
      routing.onFinished(change, result)
    })
  }

  override setZoneDrain(zone: string, drained: boolean): Effect.Effect<boolean> {
    const { control, now, log } = this.options
    // Taken when the order arrives: a copy that is committed only after the opposite order then
    // counts as outdated.
    const fromVersion = control.committedSettings()?.version ?? 0
    const value = { ...PLATFORM_ORDER, zone, drained, fromVersion, atMs: now() }
    return this.propose('zone', { case: 'setZoneDrain', value }, (result) => {
      log.info('zone drain order finished', { zone, drained, fromVersion, ...result })
    })
  }

  override readRouting(from: string): Effect.Effect<string | undefined> {
    const { control, now, routing } = this.options
    const sentAt = now()
    return Effect.map(control.readRouting(), (state) => {
      const version = state?.version ?? 0
      const hasDocument = state !== undefined && version !== 0
      const document = hasDocument ? decompressDocument(state.document) : undefined
      const answeredAt = now()
      const ms = Math.round(answeredAt - sentAt)
      const outcome = outcomeOf(state)
      routing.onRead(answeredAt, { version, document, outcome, from, ms })
      return document
    })
  }

  override acceptNotice(notice: EndpointNotice): Effect.Effect<boolean> {
    return this.options.notices.acceptNotice(notice)
  }

  override heartbeatTarget(): string | undefined {
    const leader = this.options.leader()
    return leader === '' ? undefined : `${hostOf(leader)}:${this.options.controlPort}`
  }

  override reportInvalidRouting(invalid: InvalidRouting): void {
    this.options.routing.onRefused(invalid)
  }

  /** Proposes a change to the replicated log; true once it is applied. */
  private propose(
    kind: string,
    change: CommandChange,
    logResult: (result: ProposalResult) => void,
  ): Effect.Effect<boolean> {
    const { control, now } = this.options
    const commandId = this.commandIds.next(kind)
    const sentAt = now()
    const answered = control.propose(create(CommandSchema, { commandId, change }))
    return Effect.map(answered, ({ result, detail }) => {
      const ms = Math.round(now() - sentAt)
      const applied = result === CommandResult.APPLIED
      logResult({ applied, outcome: CommandResult[result], detail, ms, commandId })
      return applied
    })
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

function outcomeOf(state: RoutingState | undefined): ReadOutcome {
  if (state === undefined) return ReadOutcome.Unconfirmed
  return state.version === 0 ? ReadOutcome.Empty : ReadOutcome.Answered
}
