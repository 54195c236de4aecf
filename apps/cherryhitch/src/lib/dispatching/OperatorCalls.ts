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
}
